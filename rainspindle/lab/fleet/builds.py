"""An older build of the program, beside the one that is worked on: an earlier commit of this repository."""

from __future__ import annotations

import argparse
import importlib
import io
import shutil
import subprocess
import sys
import tarfile
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType

from ...errors import Trouble
from ...program.fleet.config import SINGLE
from ..sockets.run import ROOT

OLDER = "da1b17a675a2e7222a85344944db49a08a470708"  # the last release: members, wallets and canaries, no more
SHARING = "7c815eaacd5a4355192d5ccc45af764177ff31a7"  # evidence, the relayed list and kept state too
UNRENAMED = "012c2197666b8278f80c9833b9cc20fb338e5833"  # the last build before names and modules were changed
TABLES = {
    commit: ("evidence", "list", "keep") for commit in (SHARING, UNRENAMED)
}  # of the fleet file that not every older build knows
BY_NAME = {"0.2": OLDER, "sharing": SHARING}


class NoBuild(Trouble):
    """The older build cannot be had."""

    remedy = "work in a clone with the whole history: `git fetch --unshallow`"


@dataclass(frozen=True, slots=True)
class Build:
    """Where `python -m rainspindle` finds one build of the program."""

    name: str
    root: Path
    tables: tuple[str, ...] = ()  # of the fleet file that not every build knows
    alias: str = "rainspindle"  # the package's name beside those of other builds in one process

    def module(self, name: str) -> ModuleType:
        """A module of this build in this process, by its name below the package; its imports are its own."""
        if not self.is_loaded():
            # Guards against the same build loaded from another folder, whose modules would be found.
            for loaded in [one for one in sys.modules if one.split(".")[0] == self.alias]:
                del sys.modules[loaded]
        sys.path.insert(0, str(self.root))
        try:
            found = importlib.import_module(f"{self.alias}.{name}")
        finally:
            sys.path.remove(str(self.root))
        assert found.__file__ is not None and Path(found.__file__).is_relative_to(self.root)
        return found

    def is_loaded(self) -> bool:
        """Whether the package is loaded from this build's folder."""
        package = sys.modules.get(self.alias)
        return package is not None and Path(package.__file__ or "").is_relative_to(self.root)


THIS = Build("new", ROOT, tuple(name for name in SINGLE if name != "members"))


def changed(folder: Path, module: str, text: str, other: str) -> Build:
    """This build with one text of one module replaced, laid out in `folder`: a release that was not thought
    through. Raises ValueError where the module has no such text."""
    skip = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "rainspindle", folder / "rainspindle", ignore=skip)
    path = folder / "rainspindle" / module
    source = path.read_text()
    if text not in source:
        raise ValueError(f"{module} has no {text!r}")
    path.write_text(source.replace(text, other))
    return Build("changed", folder, THIS.tables)


def older(folder: Path, commit: str = OLDER, root: Path = ROOT) -> Build:
    """The package as it was at a commit of the repository at `root`, laid out below `folder`, where more than
    one may be. Raises NoBuild."""
    place = folder / commit[:12]
    build = Build("old", place, TABLES.get(commit, ()), f"rainspindle_{commit[:12]}")
    if (place / build.alias).exists():
        return build
    try:
        done = subprocess.run(
            ["git", "archive", commit, "rainspindle"], cwd=root, capture_output=True, timeout=60
        )
    except OSError as fault:
        raise NoBuild(f"git cannot be run: {fault.strerror}", "install git") from None
    if done.returncode:
        why = done.stderr.decode(errors="replace").strip().splitlines()
        raise NoBuild(f"no build of {commit[:12]}: {why[-1] if why else 'git archive failed'}")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as tar:
        tar.extractall(place, filter="data")
    (place / build.alias).symlink_to("rainspindle")
    return build


def given(options: argparse.Namespace, folder: Path) -> Build:
    """The older build that a command was asked for; ends the process with status 2 where it cannot be had."""
    try:
        return older(folder, BY_NAME[options.older])
    except NoBuild as fault:
        print(f"rainspindle: {fault.line()}", file=sys.stderr)
        raise SystemExit(2) from None


def add_older(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--older", choices=BY_NAME, default="0.2", help="the older build; default: 0.2")
