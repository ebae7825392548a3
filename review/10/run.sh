#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=review/support-2 .venv/bin/python review/10/case.py
