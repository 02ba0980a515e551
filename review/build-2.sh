#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. They are Python and use only
# the standard library; the programs that they start are built by the deploy
# file. Checks that both are in place.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first"; exit 1; }
for number in 6 7 8 9 10; do
  [ -d "review/$number" ] || continue
  for file in review/"$number"/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
  done
done
