#!/usr/bin/env bash
# The stand-ins of the scripts are Python of the standard library: checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
