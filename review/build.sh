#!/bin/sh
# Builds the stand-ins: they are Python modules of the standard library alone, run by the interpreter that the
# build of the deploy file made. This only checks that they compile.
set -e
cd "$(dirname "$0")/.."
for module in review/support/*.py review/[0-9]/*.py; do
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$module"
done
