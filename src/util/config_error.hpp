// An error in a configuration file, as reported to the operator.
#pragma once

#include <string>

namespace stonebay {

/// An error in a configuration file: its location, the problem and the correction.
struct ConfigError {
  std::string file;     ///< path as given by the user
  int line = 0;         ///< counted from 1; 0 if the error is about the whole file
  std::string where;    ///< "[section] key" or "[section]"; empty if the error is about the whole line
  std::string problem;  ///< what is wrong
  std::string fix;      ///< what to write instead; may be empty

  /// Returns the error as one line: "FILE:LINE: [section] key: problem; fix". Empty parts are omitted.
  std::string text() const {
    std::string message = file;
    if (line > 0) message += ":" + std::to_string(line);
    message += ": ";
    if (!where.empty()) message += where + ": ";
    message += problem;
    if (!fix.empty()) message += "; " + fix;
    return message;
  }
};

}  // namespace stonebay
