"""Processor time and resident memory of processes, read from /proc."""

import os
from pathlib import Path
from typing import NamedTuple

from marigoldpath_bench.fleet import Fleet

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProcessorTimes(NamedTuple):
    """Processor seconds of each process and busy seconds of the whole machine."""

    seconds: dict[str, float]
    machine_busy_s: float


def processor_times(pids: dict[str, int]) -> ProcessorTimes:
    """Return the processor times used so far."""
    return ProcessorTimes(
        {name: cpu_seconds(pid) for name, pid in pids.items()}, _machine_busy_s()
    )


def fleet_pids(fleet: Fleet) -> dict[str, int]:
    """Return the process ids of the running processes by name."""
    return {
        name: process.pid
        for name, process in fleet.processes.items()
        if process.exit_status is None
    }


def cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process, or 0 if it has exited."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return VmRSS in MB of 1,024 KB; raise LookupError if it is missing."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1_024
    raise LookupError(f"process {pid} has no VmRSS")


def _machine_busy_s() -> float:
    fields = Path("/proc/stat").read_text().splitlines()[0].split()[1:]
    idle = int(fields[3]) + int(fields[4])
    return (sum(int(field) for field in fields) - idle) / TICKS_PER_S
