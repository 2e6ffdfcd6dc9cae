// The entry point of stonebay. Everything else is in src/app.
#include <csignal>

#include "app/cli.hpp"

int main(int argc, char** argv) {
  // A write to a closed connection must return an error instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  // The default action would end the process if SIGHUP arrived before the event loop handles signals.
  std::signal(SIGHUP, SIG_IGN);
  return stonebay::runCommandLine(argc, argv);
}
