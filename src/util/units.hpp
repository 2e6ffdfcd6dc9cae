// Parses and formats values with units, as written in configuration files. Pure functions. Each parser
// returns the value, or an error that states the problem and how to correct it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace stonebay {

/// The reason why a value could not be parsed.
struct ValueError {
  std::string problem;  ///< what is wrong with the value
  std::string fix;      ///< what to write instead; may be empty
};

/// A parsed value, or the reason why it could not be parsed.
template <typename T>
using ParseResult = std::variant<T, ValueError>;

/// Parses a duration such as "200us", "1.5s" or "2min". The units are us, ms, s, min, h and d; only 0 may be
/// without a unit. Negative durations are errors.
ParseResult<std::chrono::microseconds> parseDuration(std::string_view text);
/// Parses a size such as "512B", "64KB", "32MB" or "1GB" and returns it in bytes. The units are powers of
/// 1024.
ParseResult<std::uint64_t> parseSize(std::string_view text);
/// Parses a fraction, written as "21%" or "0.21".
ParseResult<double> parseShare(std::string_view text);
/// Parses a decimal integer.
ParseResult<std::int64_t> parseCount(std::string_view text);
/// Parses a decimal number without an exponent.
ParseResult<double> parseNumber(std::string_view text);
/// Parses "yes", "on", "true", "no", "off" or "false".
ParseResult<bool> parseFlag(std::string_view text);

/// Formats a duration so that parseDuration returns the same value, with the largest unit, up to h, that
/// gives a whole number.
std::string formatDuration(std::chrono::microseconds duration);
/// Formats a size so that parseSize returns the same value, with the largest unit that gives a whole number.
std::string formatSize(std::uint64_t bytes);

/// Returns the candidate with the smallest edit distance to the text, for "did you mean" hints. Returns the
/// first of several with the same distance, and an empty string if all are more than two edits away.
std::string closestMatch(std::string_view text, const std::vector<std::string>& candidates);

}  // namespace stonebay
