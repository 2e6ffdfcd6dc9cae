#!/bin/sh
# Builds the stand-ins of the second review: one program for each case, into build-review-2/. Needs only the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -e "$source" ] || continue
  echo "case $number"
  "${CXX:-c++}" -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "build-review-2/case$number"
done
