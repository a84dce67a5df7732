#!/usr/bin/env bash
# Installs, builds and runs the demo.
set -euo pipefail
cd "$(dirname "$0")/.."

[ -d node_modules ] || npm ci --no-audit --no-fund
npm run --silent build
node --enable-source-maps target/packages/demo/src/main.js
