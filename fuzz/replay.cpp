// Runs a fuzz target on all inputs in a directory, then on a given number of mutations of them. A mutation
// changes a byte, truncates the input, repeats or erases a part of it, or inserts a part of another input.
// The random seed is fixed, so every run uses the same inputs.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fuzz/target.hpp"

namespace {

constexpr std::uint64_t kSeed = 20261201;
constexpr std::uint32_t kMaxChangesPerMutation = 4;
constexpr std::uint32_t kMaxInsertedBytes = 64;  // by one change
constexpr std::uint32_t kMaxErasedBytes = 16;    // by one change

std::vector<std::string> readInputs(const char* directory) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  std::vector<std::string> inputs;
  for (const auto& path : files) {
    std::ifstream file(path, std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  return inputs;
}

void runTarget(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}

class Mutator {
 public:
  explicit Mutator(const std::vector<std::string>& inputs) : inputs_(inputs) {}

  std::string next() {
    std::string input = inputs_[randomBelow(inputs_.size())];
    for (auto changes = 1 + randomBelow(kMaxChangesPerMutation); changes > 0 && !input.empty(); --changes)
      change(input);
    return input;
  }

 private:
  std::uint32_t randomBelow(std::size_t bound) {
    return bound == 0 ? 0 : random_(static_cast<std::uint32_t>(bound));
  }

  void change(std::string& input) {
    switch (randomBelow(5)) {
      case 0:
        input[randomBelow(input.size())] = static_cast<char>(random_());
        break;
      case 1:
        input.resize(randomBelow(input.size()) + 1);
        break;
      case 2:
        input.insert(randomBelow(input.size()),
                     input.substr(randomBelow(input.size()), randomBelow(kMaxInsertedBytes)));
        break;
      case 3:
        input.erase(randomBelow(input.size()), randomBelow(kMaxErasedBytes));
        break;
      default: {
        const std::string& other = inputs_[randomBelow(inputs_.size())];
        input.insert(randomBelow(input.size()),
                     other.substr(randomBelow(other.size()), randomBelow(kMaxInsertedBytes)));
      }
    }
  }

  const std::vector<std::string>& inputs_;
  pcg32 random_{kSeed};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: %s DIRECTORY MUTATIONS\n", argv[0]);
    return 2;
  }
  const std::vector<std::string> inputs = readInputs(argv[1]);
  if (inputs.empty()) {
    std::printf("0 inputs, 0 mutations: no fault\n");
    return 1;
  }
  for (const std::string& input : inputs) runTarget(input);
  const long mutations = std::strtol(argv[2], nullptr, 10);
  Mutator mutator(inputs);
  for (long i = 0; i < mutations; ++i) runTarget(mutator.next());
  std::printf("%zu inputs, %ld mutations: no fault\n", inputs.size(), mutations);
  return 0;
}
