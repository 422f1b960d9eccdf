"""Runs the platform stand-in: `python -m marigoldpath_bench.platform --settings F`."""

import contextlib

import curio

from marigoldpath_bench.server import read_settings_argument

from ._server import PlatformServer, PlatformSettings


def main() -> None:
    """Serve until ended by a signal."""
    settings = PlatformSettings(**read_settings_argument("platform"))
    curio.run(PlatformServer(settings).run)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
