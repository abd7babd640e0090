#!/bin/bash
# Checks what the cases 11 to 15 start beside the deploy file's build: the
# stand-ins in standin-3/ are Python and need no build.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 2; }
for file in standin-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
