// The command line, on CLI11.
#pragma once

namespace stonebay {

/// Runs the command that the arguments name; without arguments it serves by the platform's JSON file, which
/// the variable NODE_CONFIG names. Returns the exit status: 0 success; 1 the command failed (standard error
/// says why); 2 the command line is invalid.
int commandLine(int argc, char** argv);

}  // namespace stonebay
