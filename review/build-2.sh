#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python programs, which need no build: this checks
# that each can be compiled, and leaves no files.
set -euo pipefail
cd "$(dirname "$0")"
for program in standin-2/*.py {6,7,8,9,10}/case.py; do
  [ -e "$program" ] || continue
  python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$program"
done
