#!/usr/bin/env bash
# Builds what the scripts of the cases start. The stand-ins are plain Python of the standard library,
# so compiling them is a check only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q -f standins
