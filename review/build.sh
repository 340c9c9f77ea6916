#!/usr/bin/env bash
# Builds the stand-ins of the cases into build/review/. Needs only the packages
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review/case$number"
done
