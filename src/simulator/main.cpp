// The program that the simulator starts: batches on standard input, replies on standard output.
#include <unistd.h>

#include "simulator/host.hpp"

int main() { return stonebay::simulator::run(STDIN_FILENO, STDOUT_FILENO); }
