#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start besides the build of the deploy file: the project's stand-ins, into dist/.
set -e
cd "$(dirname "$0")/.."
npm run --silent build
