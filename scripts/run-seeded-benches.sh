#!/usr/bin/env bash
# Runs the deterministic benches with their bounds, but those that KNOWN-RED.txt names.
set -euo pipefail
cd "$(dirname "$0")/.."

known_red=$(sed -n 's/^bench=\([^ ]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null || true)
status=0
for bench in $(node target/packages/bench/src/main.js list-deterministic); do
  if grep -qxF "$bench" <<<"$known_red"; then
    echo "known red, not run: bench $bench"
    continue
  fi
  node target/packages/bench/src/main.js "$bench" --seed 1 | tail -1 || status=1
done
exit "$status"
