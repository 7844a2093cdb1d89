#!/usr/bin/env bash
# Play the case; TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")"
exec python3 -B case.py
