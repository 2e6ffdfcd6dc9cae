#include "simulator/adapter.hpp"

int main() { return stonebay::simulator::run(0, 1); }
