#!/usr/bin/env bash
# Plays the case; with TROUBLE=0 the same without its disruption.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && exec python3 case.py
