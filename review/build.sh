#!/usr/bin/env bash
# Prepares the cases. Their stand-ins are plain modules for Node.js in review/,
# which need no build; this checks them, and that the programs are built.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/platform/main.js ]; then
  echo "run the build line of deploy/system.toml first" >&2
  exit 2
fi
for file in review/lib/*.mjs review/*/case.mjs; do
  node --check "$file"
done
