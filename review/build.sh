#!/bin/sh
# Builds the stand-ins of the cases: they are Python's standard library only, so this
# checks that they compile. The entry hosts come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("checked", path)
END
