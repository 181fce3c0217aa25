#!/bin/bash
# Builds what the cases 6 to 10 need after the deploy file's build: the libraries of the project's further fronts, put
# into the environment of the deploy file as their pages say (docs/operators/mysql.md, gateway.md). The stand-ins are
# plain Python and need no library. Nothing is laid under review/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x .venv/bin/pip ] || { echo "the build of deploy/balancer.toml comes first" >&2; exit 2; }
wanted=$(cat requirements-mysql.txt requirements-gateway.txt requirements.txt)
if [ "$wanted" != "$(cat .venv/made-from-review-2 2>/dev/null || true)" ]; then
    .venv/bin/pip install -q --disable-pip-version-check -r requirements-mysql.txt -r requirements-gateway.txt
    printf '%s\n' "$wanted" > .venv/made-from-review-2
fi
