// Values with units, as people write them in configuration files. Pure functions: each parser returns the
// value, or an error that says what is wrong and how to write it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace stonebay {

/// Why a value could not be parsed.
struct ValueError {
  std::string problem;  ///< what is wrong with it
  std::string fix;      ///< what to write instead; may be empty
};

/// The parsed value, or the reason why there is none.
template <typename T>
using ParseResult = std::variant<T, ValueError>;

/// "200us", "1.5s", "2min"; units are us, ms, s, min, h and d. Only 0 needs no unit. Not negative.
ParseResult<std::chrono::microseconds> parseDuration(std::string_view text);
/// "512B", "64KB", "32MB", "1GB", in powers of 1024. The result counts bytes.
ParseResult<std::uint64_t> parseSize(std::string_view text);
/// A fraction: "21%" or "0.21".
ParseResult<double> parseShare(std::string_view text);
/// A decimal integer.
ParseResult<std::int64_t> parseCount(std::string_view text);
/// A decimal number, without an exponent.
ParseResult<double> parseNumber(std::string_view text);
/// "yes", "on", "true", "no", "off" or "false".
ParseResult<bool> parseFlag(std::string_view text);

/// The shortest text from which parseDuration reads the same value.
std::string formatDuration(std::chrono::microseconds duration);
/// The shortest text from which parseSize reads the same value.
std::string formatSize(std::uint64_t bytes);

/// The candidate nearest to the text by edit distance, for "did you mean"; empty if all are more than two
/// edits away. Of several at the same distance the earliest.
std::string closestMatch(std::string_view text, const std::vector<std::string>& candidates);

}  // namespace stonebay
