// The command line interface, based on CLI11.
#pragma once

namespace stonebay {

/// Runs the command given by the arguments. Without arguments, runs the proxy with the platform's JSON file,
/// whose path is in the environment variable NODE_CONFIG. Returns the exit status: 0 on success, 1 if the
/// command failed (the reason is printed to standard error), 2 if the command line is invalid.
int runCommandLine(int argc, char** argv);

}  // namespace stonebay
