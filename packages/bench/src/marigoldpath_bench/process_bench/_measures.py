"""Runs the parts of the benchmark one after the other."""

import tempfile
from pathlib import Path

import curio

from . import _idle as _idle_part
from . import _starts as _starts_part
from . import _takeover as _takeover_part
from . import _waiting as _waiting_part
from ._model import PARTS, BenchSettings, Measure, default_daemon_python

REGISTERED = (_idle_part, _starts_part, _takeover_part, _waiting_part)
MEASURES = ("starts", "waiting", "takeover", "idle")


def measures(
    seed: int,
    daemon_python: str | None = None,
    parts: tuple[str, ...] = MEASURES,
) -> list[Measure]:
    """Run the named parts; all of them take less than four minutes."""
    found: list[Measure] = []
    for part in parts:
        with tempfile.TemporaryDirectory() as folder:
            settings = BenchSettings(
                seed, daemon_python or default_daemon_python(), Path(folder)
            )
            found += curio.run(PARTS.get(part), settings)
    return found
