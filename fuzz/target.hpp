// The function that each fuzz target defines. libFuzzer calls it in builds with -DSTONEBAY_FUZZ=ON and clang;
// otherwise replay.cpp calls it for each input of the corpus and for seeded mutations of them.
#pragma once

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
