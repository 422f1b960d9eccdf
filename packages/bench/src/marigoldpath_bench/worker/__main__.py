"""Run fake workers: `python -m marigoldpath_bench.worker --settings FILE`."""

import contextlib

import curio

from marigoldpath_bench.server import read_settings_argument

from ._server import parse_settings, run_workers


def main() -> None:
    """Serve until the process gets a signal."""
    curio.run(run_workers, parse_settings(read_settings_argument("worker")))


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
