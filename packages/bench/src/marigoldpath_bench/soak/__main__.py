"""Runs a seeded search: python -m marigoldpath_bench.soak --search zone --seed 1."""

import argparse
import sys

from marigoldpath_bench.fleet_simulation import FleetSearch
from marigoldpath_core.registry import Registry

from ._operations import ZoneSearch

SHOWN_FAULTS = 5
searches: Registry = Registry("search")


@searches.register("zone")
def search_zone(seed: int, steps: int) -> tuple[str, list[str]]:
    """Search the product's own request path; return its counts and its faults."""
    findings = ZoneSearch(seed).run(steps)
    counts = (
        f"requests={findings.requests} done={findings.done} "
        f"not_run={findings.not_run} unknown={findings.unknown}"
    )
    return counts, [str(fault) for fault in findings.faults]


@searches.register("fleet")
def search_fleet(seed: int, steps: int) -> tuple[str, list[str]]:
    """Search the cell in simulated time; return its counts and its faults."""
    search = FleetSearch(seed)
    faults = [
        f"{fault.rule} at {fault.at_ms:.0f} ms: {fault.what}"
        for fault in search.run(steps)
    ]
    return f"jobs={len(search.simulation.store.jobs)}", faults


def main() -> int:
    """Run consecutive seeds; return 1 when a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--search", choices=sorted(searches), default="zone")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--steps", type=int, default=150)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        counts, faults = searches.get(arguments.search)(seed, arguments.steps)
        failed += bool(faults)
        print(f"seed={seed} steps={arguments.steps} {counts} faults={len(faults)}")
        for fault in faults[:SHOWN_FAULTS]:
            print(f"  {fault}")
    print(f"soak {arguments.search}: runs={arguments.runs} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
