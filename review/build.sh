#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python and need no packages, so this only
# checks that they compile.
cd "$(dirname "$0")" && exec python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
