#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the programs of the deploy file. Their stand-ins are plain modules of Node.js without
# dependencies: there is nothing to compile, and each one is checked to be readable.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do node --check "$file"; done
