#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of cases 7 to 9 start: plain JavaScript, which is only checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/*.mjs; do
    node --check "$file"
done
