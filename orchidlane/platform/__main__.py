"""Run one gateway on the platform: ``python -m orchidlane.platform``.

The environment variable ``PROXY_CONFIG`` names the configuration file.
"""

from __future__ import annotations

import gc
import os
import sys

from orchidlane.platform.configuration import ConfigurationError, configuration_path, parse_configuration
from orchidlane.platform.lifecycle import PlatformGateway
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.runtime.signals import block_reload_signal, serve


def main() -> int:
    """Serve until SIGTERM and return the exit status.

    The status is 2 if the configuration is not valid, 1 if an address can't be bound, and 0 otherwise; an
    error is reported by one line on standard error.
    """
    block_reload_signal()
    try:
        path = configuration_path(os.environ)
        with open(path, "rb") as file:
            configuration = parse_configuration(file.read(), path)
    except (ConfigurationError, OSError) as error:
        print(f"orchidlane: {error}", file=sys.stderr)
        return 2
    gc.freeze()
    backend = RealBackend(configuration.seed)
    loop = EventLoop(backend)
    gateway = PlatformGateway(loop, configuration, path)
    try:
        serve(loop, backend, gateway.run, gateway.stop, gateway.reload)
    except OSError as error:
        print(f"orchidlane: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
