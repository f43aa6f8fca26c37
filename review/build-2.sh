#!/bin/bash
# Builds the stand-ins of the scripts in review/6 and later. They are plain JavaScript for Node.js 20 without dependencies, so
# building them means to check that each one can be parsed. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
[ -e target/gateway.cjs ] || { echo "target/gateway.cjs is missing; run the build of deploy/system.toml first" >&2; exit 2; }
