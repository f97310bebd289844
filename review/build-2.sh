#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python programs: nothing is compiled, only
# what they need is checked. The cases start the router that the deploy file
# builds.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 -m py_compile review/standins-2/fleet.py
rm -rf review/standins-2/__pycache__
test -x target/mallowglade || echo "note: the build of the deploy file has not been run yet"
