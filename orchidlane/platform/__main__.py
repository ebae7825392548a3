"""``python -m orchidlane.platform``: one gateway, told by its environment what it is."""

from __future__ import annotations

import gc
import os
import sys

from orchidlane.platform.configuration import ConfigError, parse, path_of
from orchidlane.platform.lifecycle import Life
from orchidlane.runtime import Loop, RealWorld
from orchidlane.runtime.signals import hold_reload, serve


def main() -> int:
    """Serve until SIGTERM; 2 and one line where the configuration can't be used."""
    hold_reload()
    try:
        path = path_of(os.environ)
        with open(path, "rb") as file:
            config = parse(file.read(), path)
    except (ConfigError, OSError) as wrong:
        print(f"orchidlane: {wrong}", file=sys.stderr)
        return 2
    gc.freeze()
    world = RealWorld(config.seed)
    loop = Loop(world)
    life = Life(loop, config, path)
    try:
        serve(loop, world, life.run, life.stop, life.reload)
    except OSError as wrong:
        print(f"orchidlane: {wrong}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
