#!/bin/sh
# Builds what the cases 6 to 10 start besides the program itself. Their stand-ins are in review/support-2 and in the
# folders of the cases; they need the standard library only, so that it is enough to compile them.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/support-2 review/6 review/7 review/8 review/9 review/10
