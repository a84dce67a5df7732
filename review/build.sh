#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: those of the project that they use. Those under review/ need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p tsconfig.json
