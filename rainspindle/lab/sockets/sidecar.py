"""A sidecar whose decisions are a baseline's: all but the module is the program itself."""

from __future__ import annotations

import os
import sys

from ...lazy_dataclasses import dataclass, fields
from ...program import logs
from ...program.config import Config, load
from ...program.serve import Sidecar
from ...routing.facade import Facade
from ..decide import maker
from ..experiment import Variant


@dataclass(frozen=True, slots=True)
class BaselineConfig(Config):
    policy: str = "random"

    def facade(self, now: float) -> Facade:
        variant = Variant.model_validate({"name": self.policy, "policy": self.policy})
        return Facade(now, maker(variant, self.raw_settings, self.seed, now))


def main() -> int:
    logs.set_up("info")

    def read() -> Config:
        config = load(None, os.environ)
        return BaselineConfig(**{name: getattr(config, name) for name in fields(Config)}, policy=sys.argv[1])

    Sidecar(read(), read).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
