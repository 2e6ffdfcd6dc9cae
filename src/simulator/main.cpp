// The program that the simulator starts. It reads batches from standard input and writes replies to standard
// output.
#include <unistd.h>

#include "simulator/host.hpp"

int main() { return stonebay::simulator::run(STDIN_FILENO, STDOUT_FILENO); }
