// An error in a configuration file, as it is reported to the person who has to correct the file.
#pragma once

#include <string>

namespace stonebay {

/// One error in a configuration file: where it is, what is wrong and how to correct it.
struct ConfigError {
  std::string file;     ///< path as it was given
  int line = 0;         ///< counted from 1; 0: the file as a whole
  std::string where;    ///< "[section] key"; empty: the line as a whole
  std::string problem;  ///< what is wrong
  std::string fix;      ///< what to write instead; may be empty

  /// One line: "FILE:LINE: [section] key: problem; fix", without the parts that are empty.
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
