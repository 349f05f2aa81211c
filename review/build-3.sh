#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are plain modules and need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file"
done
