#!/bin/sh
# Builds the programs of all cases, with their stand-ins, into review/build. Needs only a C++17 compiler.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]*/case.cpp; do
  number=${source%%/*}
  "${CXX:-g++}" -std=c++17 -O1 -g -Wall -Wextra -pthread -I standins -o "build/case-$number" "$source"
done
