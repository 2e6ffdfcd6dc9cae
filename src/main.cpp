// The entry point of stonebay; src/app does the rest.
#include <csignal>

#include "app/cli.hpp"

int main(int argc, char** argv) {
  // A lost connection is reported by the call that writes to it.
  std::signal(SIGPIPE, SIG_IGN);
  // The default action would end the process if SIGHUP came before the event loop handles it.
  std::signal(SIGHUP, SIG_IGN);
  return stonebay::commandLine(argc, argv);
}
