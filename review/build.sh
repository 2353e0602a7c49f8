#!/bin/sh
# After the build of the deploy file: the stand-ins are Python and need nothing else; this checks that they load.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c 'import msgpack, review.standin.case, review.standin.fleet'
# The project's own stand-ins and programs that case 3 starts; they are Python too.
.venv/bin/python -m testbed.zookeeper --help >/dev/null
.venv/bin/python -m topazbank.discovery.registrar --help >/dev/null
