#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the programs:
# nothing, as their stand-ins are plain JavaScript in review/lib-3. Checks that
# the build of the deploy file has been made.
cd "$(dirname "$0")/.." || exit 2
test -f target/platform/main.js || {
  echo "run the build line of deploy/system.toml first" >&2
  exit 2
}
for file in review/lib-3/*.mjs review/1[1-5]/run.mjs; do
  if [ -f "$file" ]; then
    node --check "$file" || exit 2
  fi
done
