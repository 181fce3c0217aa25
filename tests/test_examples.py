"""Pages and docstrings are true: each example in them is done. A page that lies fails."""

from __future__ import annotations

from pathlib import Path

import pytest
from sybil.example import SybilFailure

from .examples import ROOT, Lie, play

DOCS = ROOT / "docs"
PAGES = [
    ROOT / "README.md",
    DOCS / "on-call.md",
    DOCS / "migration.md",
    *sorted((DOCS / "operators").glob("*.md")),
]
MODULES = [path for path in sorted((ROOT / "rainspindle").rglob("*.py")) if ">>> " in path.read_text()]


@pytest.mark.parametrize("page", [*PAGES, *MODULES], ids=lambda path: str(path.relative_to(ROOT)))
def test_all_that_a_page_or_a_docstring_shows_is_so(page: Path, tmp_path: Path) -> None:
    assert play(page, tmp_path)


TRUE = """
In `deploy/fleet.toml`, read by `check --fleet FILE`; `rainspindle serve [--log-level LEVEL]` serves.

```toml
[members]
fleet = "casa"
listen = "127.0.0.1:7946"
folder = "state"

[[wallet]]
name = "north"
home = "n1"
tenant = 0
```

    rainspindle check --config config.json   # a comment
    rainspindle serve --config deploy/config.json --fleet deploy/fleet.toml
    curl -s http://ADDRESS/-/members

```json
{"self": "n1", "members": [{"name": "n1", "state": "alive", "life": 3, "heard": 0.0}]}
```

| log line | means |
| --- | --- |
| `part=program event="handing over"` | a successor listens |

`POST /-/wallets/NAME/top-up?id=ID&amount=N` pays in, `GET /-/canaries` tells of canaries.

```python
from rainspindle.transport.address import parse_address
assert parse_address("[::1]:80") == ("::1", 80)
```
"""
LIES = [
    ("deploy/fleet.toml", "deploy/fleets.toml"),
    ("--fleet FILE", "--fleets FILE"),
    ("--log-level", "--log"),
    ("fleet = ", "flet = "),
    ("tenant = 0", "tenant = 99"),
    ("[members]", "[members"),
    ("config.json ", "old-one.json "),
    ("deploy/config.json", "deploy/balancer.toml"),
    ("rainspindle check", "rainspindle chek"),
    ("/-/members", "/-/member"),
    ('"self"', '"itself"'),
    ('"heard": 0.0', '"heard": "now"'),
    ('"heard": 0.0', '"hears": 0.0'),
    ("POST /-/wallets", "GET /-/wallets"),
    ("/top-up", "/topup"),
    ("/-/canaries", "/-/canary"),
    ('("::1", 80)', '("::1", 81)'),
    ("```python", "```nothing"),
    ("    curl -s", "    wget"),
    ("handing over", "handing on"),
]


def test_a_page_that_tells_the_truth_passes(tmp_path: Path) -> None:
    (tmp_path / "page.md").write_text(TRUE)
    assert play(tmp_path / "page.md", tmp_path) == 10


@pytest.mark.parametrize(("so", "not_so"), LIES)
def test_a_page_that_lies_fails(so: str, not_so: str, tmp_path: Path) -> None:
    assert so in TRUE
    (tmp_path / "page.md").write_text(TRUE.replace(so, not_so, 1))
    with pytest.raises((Lie, SybilFailure, AssertionError)):
        play(tmp_path / "page.md", tmp_path)


def test_a_docstring_that_lies_fails(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.syspath_prepend(tmp_path)
    file = tmp_path / "module.py"
    file.write_text('def one():\n    """One.\n\n    >>> 1 + 1\n    3\n    """\n')
    with pytest.raises(SybilFailure):
        play(file, tmp_path)
