#!/bin/sh
# Checks that the stand-ins of review/bed2 and the cases 4 to 8 compile, after the build of the
# deploy file. They are Python programs and use only aiohttp from target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps exec python3 - <<'PYTHON'
import pathlib

import aiohttp

for path in [pathlib.Path("review/bed2/bed.py"), *sorted(pathlib.Path("review").glob("[4-8]/*.py"))]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"{path} compiles")
print(f"aiohttp {aiohttp.__version__}")
PYTHON
