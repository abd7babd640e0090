#!/bin/sh
# Prepares the stand-ins of the scripts. They are Python without dependencies: there is nothing to build, only to check.
set -eu
cd "$(dirname "$0")"
for file in standin/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
echo "stand-ins ready"
