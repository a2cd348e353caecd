#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: they are plain modules of lib-2, which need no build and no package. Checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
    node --check "$file"
done
