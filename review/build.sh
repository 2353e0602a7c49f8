#!/bin/sh
# After the build of the deploy file: the stand-ins are Python and need nothing else; this checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c 'import msgpack, review.standin.case, review.standin.fleet'
