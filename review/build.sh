#!/bin/sh
# Checks that all that the scripts start can be loaded with what the build of the deploy file made.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 exec python3 -c "
import aiohttp
import review.bed.bed
print('the stand-ins can be loaded')
"
