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

EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM; return the exit status."""
    parser = argparse.ArgumentParser(prog="marigoldpathd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="a JSON file")
    path = parser.parse_args(arguments).settings
    try:
        loaded = load_settings(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        print(f"marigoldpathd: {path}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if loaded.is_err():
        for problem in loaded.unwrap_err():
            print(f"marigoldpathd: {path}: {problem}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return _run(loaded.unwrap())


def _run(settings: DaemonSettings) -> int:
    from marigoldpath_core.scheduler import ZoneScheduler

    telemetry = Telemetry(settings)
    route_library_logs(telemetry.log)

    def create_scheduler(settings: DaemonSettings, incarnation: str) -> Scheduler:
        scheduler = ZoneScheduler(settings, incarnation)
        if not settings.observability.trace_path:
            return scheduler
        # Imported only if needed: few daemons record a trace and memory is limited.
        from ..runtime._recording import RecordingScheduler

        writer = TraceWriter(settings.observability, telemetry.log)
        return RecordingScheduler(scheduler, writer, settings, incarnation)

    daemon = Daemon(settings, create_scheduler, telemetry)
    try:
        daemon.bind()
    except OSError as error:
        print(f"marigoldpathd: {settings.address}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    # The objects loaded at startup stay in use; exclude them from collection.
    gc.freeze()
    signals = StopSignals()
    signals.install()
    return curio.run(run_until_stopped, daemon, signals)


async def run_until_stopped(daemon: Daemon, signals: StopSignals) -> int:
    """Serve until the first signal, then drain; a second one exits immediately."""
    serving = await curio.spawn(daemon.run)
    first_signal = await curio.spawn(signals.wait)
    await _wait_for_any(serving, first_signal)
    await first_signal.cancel()
    if serving.terminated:
        # `run` ends only because of an error, which `join` raises.
        await serving.join()
        return EXIT_FAILURE
    stopping = await curio.spawn(daemon.stop)
    second_signal = await curio.spawn(signals.wait)
    await _wait_for_any(stopping, second_signal)
    status = 0 if stopping.terminated else EXIT_FAILURE
    for task in (stopping, second_signal, serving):
        await task.cancel()
    return status


async def _wait_for_any(*tasks: curio.Task) -> None:
    """Wait until one of the tasks has finished."""
    finished = curio.Event()

    async def watch_task(task: curio.Task) -> None:
        await task.wait()
        await finished.set()

    watchers = [await curio.spawn(watch_task, task, daemon=True) for task in tasks]
    await finished.wait()
    for watcher in watchers:
        await watcher.cancel()
