#!/usr/bin/env bash
# Bundles the cases' scripts with their stand-ins into target/review/. The programs are built by the deploy file's own command.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/*/run.ts; do
  number=$(basename "$(dirname "$script")")
  npx --no-install esbuild "$script" --bundle --platform=node --target=node20 --format=esm --log-level=warning "--outfile=target/review/$number.mjs"
done
