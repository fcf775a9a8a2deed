#!/usr/bin/env bash
# The stand-ins are plain JavaScript and need no build; this checks that Node.js can read them.
cd "$(dirname "$0")" || exit 1
for file in harness/*.mjs [1-5]/*.mjs; do
	node --check "$file" || exit 1
done
