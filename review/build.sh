#!/usr/bin/env bash
# Bundles the scripts of the cases with all stand-ins that they start, to target/review/.
set -eu
cd "$(dirname "$0")/.."
node review/harness/build.mjs
