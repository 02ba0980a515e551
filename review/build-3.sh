#!/usr/bin/env bash
# Checks the stand-ins of the cases: they are Python files that need no build
# and no library beyond the standard one.
set -eu
cd "$(dirname "$0")"
for file in 1[1-5]/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
