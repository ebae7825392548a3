#!/bin/sh
# Exit 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/3/case.py
