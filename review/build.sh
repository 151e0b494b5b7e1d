#!/bin/bash
# Builds the stand-ins of the cases into bin/, next to the programs that the build of the deploy file puts there.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
for case in review/[0-9]; do
	go build -tags review -o "bin/review-${case#review/}" "./$case"
done
