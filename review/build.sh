#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cc; do
    name="${source%/case.cc}"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I harness "$source" harness/harness.cc -o "bin/case-$name"
done
