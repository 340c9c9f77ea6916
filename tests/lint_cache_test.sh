#!/usr/bin/env bash
# Guards against a source that the lint passes unread: sources whose headers could
# not be listed shared one key, so one that passed hid findings in the others.
set -euo pipefail
cd "$(dirname "$0")/.."
source=$(mktemp --suffix=.cpp)
shared=.cache/lint/$(sha256sum <.clang-tidy | cut -d' ' -f1)
trap 'rm -f "$source" "$shared"' EXIT
echo '#include "no_such_header.h"' >"$source"
mkdir -p .cache/lint
touch "$shared"
if scripts/check-lint "$source" 2>/dev/null; then
  echo "check-lint passed a source whose headers it can't list" >&2
  exit 1
fi
