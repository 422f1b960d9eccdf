"""Run the benchmarks: `python -m marigoldpath_bench.benchmarks --seed 1`.

Print one JSON object per line, as soon as its benchmark has finished.
"""

import argparse
import json
import sys
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from marigoldpath_bench import (
    journal_bench,
    policy_bench,
    process_bench,
    scheduler_bench,
)
from marigoldpath_core.registry import Registry

Benchmark = Callable[[int, str | None], Iterable[Mapping[str, Any]]]

BENCHMARKS: Registry[str, Benchmark] = Registry("benchmark")


@BENCHMARKS.register("policy")
def policy(seed: int, daemon_python: str | None) -> Iterable[Mapping[str, Any]]:
    """Measure the queue and placement policies in a simulation."""
    return policy_bench.measures(seed)


@BENCHMARKS.register("journal")
def journal(seed: int, daemon_python: str | None) -> Iterable[Mapping[str, Any]]:
    """Measure the journal with a fake table."""
    return journal_bench.measures(seed)


@BENCHMARKS.register("scheduler")
def scheduler(seed: int, daemon_python: str | None) -> Iterable[Mapping[str, Any]]:
    """Measure the cell's scheduler with 24 to 4,100 workers."""
    return scheduler_bench.measures(seed)


@BENCHMARKS.register("process")
def processes(seed: int, daemon_python: str | None) -> Iterable[Mapping[str, Any]]:
    """Measure the running system part by part."""
    for part in process_bench.MEASURES:
        yield from process_bench.measures(seed, daemon_python, (part,))


def _register_parts() -> None:
    """Register each part of the process benchmark also under its own name."""
    for part in process_bench.MEASURES:

        def run(seed: int, python: str | None, name: str = part) -> Any:
            return process_bench.measures(seed, python, (name,))

        BENCHMARKS.register(f"process.{part}")(run)


_register_parts()


def main(arguments: list[str] | None = None) -> int:
    """Run the selected benchmarks; return 1 if a target was missed."""
    parser = argparse.ArgumentParser(prog="benchmarks", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=sorted(BENCHMARKS), default=None)
    parser.add_argument("--daemon-python", default=None)
    options = parser.parse_args(arguments)
    whole = [name for name in BENCHMARKS if "." not in name]
    names = [options.only] if options.only else whole
    print(json.dumps({"seed": options.seed, "benchmarks": names}), flush=True)
    missed = 0
    for name in names:
        for line in BENCHMARKS.get(name)(options.seed, options.daemon_python):
            print(json.dumps(line), flush=True)
            missed += line["met"] is False
    return int(missed > 0)


if __name__ == "__main__":
    sys.exit(main())
