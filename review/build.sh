#!/bin/sh
# The stand-ins are plain JavaScript and Python, so there is nothing to compile; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in [1-5]/*.js; do
  node --check "$file"
done
for file in [1-5]/*.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo 'stand-ins are ready'
