#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the project's
# programs. Their stand-ins are plain modules that need no compiler; this checks
# that all of them can be read.
set -eu
cd "$(dirname "$0")"
for module in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$module" ] || continue
  node --check "$module"
done
