#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The product itself is built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
