#!/usr/bin/env bash
# The stand-ins of review/4 to 8 are the Python modules in review/harness, which need the standard
# library only: nothing is compiled or fetched. This checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import harness.deployment'
echo "stand-ins of the second review: nothing to build"
