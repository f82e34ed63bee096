#!/bin/sh
# Prepares the scripts of the second review, after the build of the deploy file. The stand-ins of cases with case.js are the
# project's own and are compiled; the others are Python programs of the standard library.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
npm run --silent build || exit 1
for file in review/6/*.py review/9/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
