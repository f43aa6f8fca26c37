#!/usr/bin/env bash
# The stand-ins of the review are plain JavaScript for Node.js 20 and need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
