#!/usr/bin/env bash
# Sets the machine up, builds, and shows the whole path on loopback; stops by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
cmake --preset default
cmake --build --preset default --target laburnumweir laburnumweir-standin
exec python3 scripts/demo.py
