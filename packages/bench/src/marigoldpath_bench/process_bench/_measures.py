"""Run the parts of the benchmark sequentially."""

import tempfile
import time
from pathlib import Path

import curio

from . import _failover as _failover_part
from . import _idle as _idle_part
from . import _starts as _starts_part
from . import _waiting as _waiting_part
from ._model import PARTS, BenchSettings, Measure, default_daemon_python, measure

REGISTERED = (_idle_part, _starts_part, _failover_part, _waiting_part)
MEASURES = ("starts", "waiting", "takeover", "idle")
LOOP_STEPS = 1_000_000


def measures(
    seed: int,
    daemon_python: str | None = None,
    parts: tuple[str, ...] = MEASURES,
) -> list[Measure]:
    """Run the named parts; all of them take less than four minutes."""
    measurements: list[Measure] = []
    for part in parts:
        with tempfile.TemporaryDirectory() as folder:
            settings = BenchSettings(
                seed, daemon_python or default_daemon_python(), Path(folder)
            )
            measurements.append(_reference_loop(part, seed))
            measurements += curio.run(PARTS.get(part), settings)
    return measurements


def _reference_loop(part: str, seed: int) -> Measure:
    """Time a fixed loop, because a shared machine's speed changes between runs.

    Figures of two runs compare only after division by it.
    """
    begin_s = time.process_time()
    total = 0
    for number in range(LOOP_STEPS):
        total += number
    value = 1_000 * (time.process_time() - begin_s)
    title = "reference loop, processor for 1,000,000 additions"
    return measure(title, f"before {part}", value, "ms", seed)
