#!/usr/bin/env bash
# Bundles the scripts of cases 6 and up with all stand-ins that they start, to target/review-2/.
set -eu
cd "$(dirname "$0")/.."
node review/harness-2/build.mjs
