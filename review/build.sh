#!/bin/sh
# Beside the build of the deploy file nothing has to be built: the stand-ins are plain Python, run by the sidecar's
# own environment.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -m compileall -q review
