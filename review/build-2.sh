#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins are plain modules for Node.js without dependencies, so they are only checked.
set -eu
cd "$(dirname "$0")"
for file in harness-2/*.js [6-9]/case.js 10/case.js; do
	node --check "$file"
done
test -f ../target/entry.cjs && test -f ../target/coordinator.cjs
