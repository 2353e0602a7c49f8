#!/bin/sh
# Lays what the operators' bench reads beside the sites of this folder; git ignores it.
#   sh deploy/sites/lay.sh FOLDER    FOLDER: the operators' folder of sites
set -eu
[ $# -eq 1 ] && [ -d "$1" ] || { echo "lay.sh: the operators' folder of sites is needed" >&2; exit 2; }
here=$(dirname "$0")
for name in real.json wire.json unlock.txt; do
    rm -f "$here/$name"
    cp "$1/$name" "$here/$name"
done
