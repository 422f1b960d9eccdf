"""Run daemons with timers and read the processor times that the timers recorded."""

import json
from typing import NamedTuple

from marigoldpath_bench.deployment import RunPlan
from marigoldpath_bench.timed_daemon import LOG_SUFFIX

MODULE = "marigoldpath_bench.timed_daemon"


class CpuTime(NamedTuple):
    """Processor microseconds of daemons, without the overhead of the timers."""

    cpu_us: float
    core_us: float
    codec_us: float

    @property
    def rest_us(self) -> float:
        """The processor time outside the core and the codecs."""
        return self.cpu_us - self.core_us - self.codec_us


def with_timers(run: RunPlan) -> RunPlan:
    """Return the run with daemons that have timers."""
    daemons = tuple(daemon._replace(module=MODULE) for daemon in run.daemons)
    return run._replace(daemons=daemons)


def read_cpu_time(run: RunPlan, begin_ms: int, end_ms: int) -> CpuTime:
    """Return the processor time of all daemons of a run within an interval."""
    total = CpuTime(0.0, 0.0, 0.0)
    for daemon in run.daemons:
        path = daemon.settings_path(run.folder).with_suffix(LOG_SUFFIX)
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        inside = [each for each in lines if begin_ms <= each["at_ms"] <= end_ms]
        if len(inside) < 2:
            continue
        first, last = inside[0], inside[-1]
        # The first and last lines do not lie exactly at the bounds of the interval.
        scale = (end_ms - begin_ms) / (last["at_ms"] - first["at_ms"]) / 1_000
        scaled = {name: scale * (last[name] - first[name]) for name in last}
        total = CpuTime(
            total.cpu_us + scaled["cpu_ns"] - scaled["timer_ns"],
            total.core_us + scaled["core_ns"],
            total.codec_us + scaled["codec_ns"],
        )
    return total
