#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
