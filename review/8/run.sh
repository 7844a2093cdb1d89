#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs it without the disruption.
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/case.py"
