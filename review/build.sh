#!/bin/sh
# The stand-ins of the scripts are plain Node.js modules: nothing to compile, they are only checked here.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */*.mjs; do
    node --check "$file"
done
