"""Searches the cell: python -m marigoldpath_bench.fleet_world --seed 1 --runs 20."""

import argparse
import sys

from ._search import FleetSearch


def main() -> int:
    """Run the search over consecutive seeds; return 1 when a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--steps", type=int, default=150)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        search = FleetSearch(seed)
        broken = search.run(arguments.steps)
        failed += bool(broken)
        print(f"seed={seed} jobs={len(search.world.store.jobs)} faults={len(broken)}")
        for fault in broken[:5]:
            print(f"  {fault.rule} at {fault.at_ms:.0f} ms: {fault.what}")
    print(f"fleet search: runs={arguments.runs} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
