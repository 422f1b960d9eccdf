"""Run the fake platform: `python -m marigoldpath_bench.platform --settings FILE`."""

import contextlib

import curio

from marigoldpath_bench.server import read_settings_argument

from ._server import PlatformServer, PlatformSettings


def main() -> None:
    """Serve until the process gets a signal."""
    settings = PlatformSettings(**read_settings_argument("platform"))
    curio.run(PlatformServer(settings).run)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
