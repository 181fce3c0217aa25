#!/bin/bash
# Builds what the cases 6 to 10 need beside the deploy file's build: an environment with the libraries of the
# project's further fronts, by the requirement files that their pages name. The stand-ins need no library.
set -euo pipefail
cd "$(dirname "$0")/.."
cat requirements-mysql.txt requirements-gateway.txt requirements-fleet.txt requirements.txt > review/common2/wanted
if ! cmp -s review/common2/wanted review/common2/venv/made-from; then
    python3 -m venv --clear review/common2/venv
    review/common2/venv/bin/pip install -q --disable-pip-version-check \
        -r requirements-mysql.txt -r requirements-gateway.txt -r requirements-fleet.txt
    cp review/common2/wanted review/common2/venv/made-from
fi
rm -f review/common2/wanted
