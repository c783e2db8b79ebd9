#!/bin/sh
# Checks the stand-ins and the cases. They are Python files that need the standard
# library only, so there is nothing else to build.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
