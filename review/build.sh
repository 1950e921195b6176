#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that use the standard library only, so
# there is nothing to compile; this checks that the interpreter accepts them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
