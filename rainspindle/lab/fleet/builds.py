"""An older build of the program, beside the one that is worked on: an earlier commit of this repository."""

from __future__ import annotations

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
from ..sockets.run import ROOT

OLDER = "da1b17a675a2e7222a85344944db49a08a470708"  # the last release: members, wallets and canaries, no more
ALIAS = "rainspindle_older"  # the name by which its modules stand beside those of this build in one process


class NoBuild(Trouble):
    """The older build cannot be had."""

    remedy = "work in a clone with the whole history: `git fetch --unshallow`"


@dataclass(frozen=True, slots=True)
class Build:
    """Where `python -m rainspindle` finds one build of the program."""

    name: str
    root: Path

    def module(self, name: str) -> ModuleType:
        """A module of an older build in this process, by its name below the package; its imports are its
        own. One older build alone can be loaded so."""
        if str(self.root) not in sys.path:
            sys.path.append(str(self.root))
        found = importlib.import_module(f"{ALIAS}.{name}")
        assert found.__file__ is not None and Path(found.__file__).is_relative_to(self.root)
        return found


THIS = Build("new", ROOT)


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
    return Build("changed", folder)


def older(folder: Path, commit: str = OLDER, root: Path = ROOT) -> Build:
    """The package as it was at a commit of the repository at `root`, laid out in `folder`, which must be
    empty or hold just that. Raises NoBuild."""
    build = Build("old", folder)
    if (folder / ALIAS).exists():
        return build
    try:
        done = subprocess.run(["git", "archive", commit, "rainspindle"], cwd=root, capture_output=True,
                              timeout=60)
    except OSError as fault:
        raise NoBuild(f"git cannot be run: {fault.strerror}", "install git") from None
    if done.returncode:
        why = done.stderr.decode(errors="replace").strip().splitlines()
        raise NoBuild(f"no build of {commit[:12]}: {why[-1] if why else 'git archive failed'}")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as tar:
        tar.extractall(folder, filter="data")
    (folder / ALIAS).symlink_to("rainspindle")
    return build
