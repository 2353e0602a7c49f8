#!/bin/sh
# Makes .venv anew unless it is whole and of just what the requirements ask for: the stamp is written last.  Then the
# compiled copy of the package, unless it is of these sources.
set -eu
cd "$(dirname "$0")/.."
# Debian's interpreter is preferred: with its core linked in, it took a fifth less CPU a request than a shared
# build of the same release.  Any from 3.11 on will do.
python=/usr/bin/python3
$python -c 'import ensurepip, sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null || python=python3
asked() { echo "# $python"; cat requirements.txt deploy/build-requirements.txt; }
if ! asked | cmp -s - .venv/installed.txt || ! .venv/bin/python -c 'import h11, msgpack'; then
    rm -rf .venv
    $python -m venv .venv
    .venv/bin/pip install -q --disable-pip-version-check -r requirements.txt
    # Without them the program runs as it is, uncompiled.
    .venv/bin/pip install -q --disable-pip-version-check -r deploy/build-requirements.txt || echo "no compiler" >&2
    asked > .venv/installed.txt
fi
.venv/bin/python -m compileall -q topazbank
.venv/bin/python deploy/compile.py
