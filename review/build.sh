#!/bin/sh
# Builds the stand-ins of the cases. They are Python and use its own library alone: each is compiled as a check.
set -e
cd "$(dirname "$0")"
python3 -m py_compile fleet.py */play.py
