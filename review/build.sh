#!/bin/bash
# Builds every stand-in that a script of the review starts, into review/build/. Needs the compiler of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]*/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/case-$(dirname "$source")"
done
