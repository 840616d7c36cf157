#!/bin/sh
# Compiles the stand-ins and the cases. They only need the standard library and
# the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q .
