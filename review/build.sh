#!/bin/sh
# The stand-ins are Python files that use the standard library alone; this
# checks that they compile and that the build of the deploy file has run.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
PY
test -d ../target/deps
