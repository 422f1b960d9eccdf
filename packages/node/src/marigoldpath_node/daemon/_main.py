"""The command line of `marigoldpathd`."""

import argparse
import gc
import sys
from pathlib import Path

import curio

from marigoldpath_core.settings import DaemonSettings, load_settings

from ..observability import Telemetry, TraceWriter, route_library_logs
from ..runtime import Scheduler
from ._daemon import Daemon
from ._signals import StopSignals

STOPPED_AT_ONCE = 1
BAD_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM; return the exit status."""
    parser = argparse.ArgumentParser(prog="marigoldpathd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="a JSON file")
    path = parser.parse_args(arguments).settings
    try:
        loaded = load_settings(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        print(f"marigoldpathd: {path}: {fault}", file=sys.stderr)
        return BAD_SETTINGS
    if loaded.is_err():
        for found in loaded.unwrap_err():
            print(f"marigoldpathd: {path}: {found}", file=sys.stderr)
        return BAD_SETTINGS
    return _run(loaded.unwrap())


def _run(settings: DaemonSettings) -> int:
    from marigoldpath_core.scheduler import ZoneScheduler

    telemetry = Telemetry(settings)
    route_library_logs(telemetry.log)

    def create_scheduler(settings: DaemonSettings, incarnation: str) -> Scheduler:
        scheduler = ZoneScheduler(settings, incarnation)
        if not settings.observability.trace_path:
            return scheduler
        # Imported here because few daemons record and their memory is limited.
        from ..runtime._recording import RecordingScheduler

        writer = TraceWriter(settings.observability, telemetry.log)
        return RecordingScheduler(scheduler, writer, settings, incarnation)

    daemon = Daemon(settings, create_scheduler, telemetry)
    try:
        daemon.bind()
    except OSError as fault:
        print(f"marigoldpathd: {settings.address}: {fault}", file=sys.stderr)
        return BAD_SETTINGS
    # What was loaded at the start is never garbage.
    gc.freeze()
    signals = StopSignals()
    signals.install()
    return curio.run(run_until_stopped, daemon, signals)


async def run_until_stopped(daemon: Daemon, signals: StopSignals) -> int:
    """Serve until the first signal, then drain; a second signal ends at once."""
    serving = await curio.spawn(daemon.run)
    signalled = await curio.spawn(signals.wait)
    await _first(serving, signalled)
    await signalled.cancel()
    if serving.terminated:
        # Nothing but an error ends it; join raises that error.
        await serving.join()
        return STOPPED_AT_ONCE
    stopping = await curio.spawn(daemon.stop)
    again = await curio.spawn(signals.wait)
    await _first(stopping, again)
    status = 0 if stopping.terminated else STOPPED_AT_ONCE
    for task in (stopping, again, serving):
        await task.cancel()
    return status


async def _first(*tasks: curio.Task) -> None:
    """Wait until one of the tasks has ended."""
    ended = curio.Event()

    async def watch(task: curio.Task) -> None:
        await task.wait()
        await ended.set()

    watchers = [await curio.spawn(watch, task, daemon=True) for task in tasks]
    await ended.wait()
    for watcher in watchers:
        await watcher.cancel()
