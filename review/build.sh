#!/usr/bin/env bash
# Build the stand-ins of the cases: plain Python, without further libraries.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 -m compileall -q review
