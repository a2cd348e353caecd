#!/bin/sh
# The stand-ins are plain JavaScript modules without dependencies, so that building them is checking them.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
    node --check "$file"
done
