#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are scripts, so this checks that they compile and that Python is new enough.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in ["standins/fleet.py", *sorted(glob.glob("[1-5]/case.py"))]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
