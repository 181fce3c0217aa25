"""The exceptions of the linter are all needed, so that their list only shrinks."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
RUFF = [sys.executable, "-m", "ruff", "check", ".", "--no-cache", "--exit-zero"]


def test_each_exception_of_a_file_is_needed() -> None:
    ignores = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]["per-file-ignores"]
    done = subprocess.run(
        [*RUFF, "--output-format", "json", "--config", "lint.per-file-ignores = {}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    found = {(str(Path(one["filename"]).relative_to(ROOT)), one["code"]) for one in json.loads(done.stdout)}
    listed = {(name, code) for name, codes in ignores.items() if "*" not in name for code in codes}
    assert not listed - found, "these pass: take them out of pyproject.toml"
