#!/usr/bin/env bash
# Builds the stand-ins of the third review. They are plain JavaScript without dependencies, so there is nothing to compile: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness-3/*.js 1[1-5]/*.js; do
	node --check "$file"
done
