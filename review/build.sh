#!/bin/sh
# Builds what the cases start beside the build of the deploy file: the stand-ins are plain Python of
# review/common; the MySQL front wants the project's own requirements-mysql.txt.
cd "$(dirname "$0")/.." || exit 1
if ! .venv/bin/python -c 'import msgspec, sqlglot' 2>/dev/null; then
    .venv/bin/pip install -q --disable-pip-version-check -r requirements-mysql.txt ||
        .venv-dev/bin/python -c 'import msgspec, sqlglot' || echo "review/2 cannot run" >&2
fi
.venv/bin/python -m compileall -q review
