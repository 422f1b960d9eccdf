"""Runs the seeded search: python -m marigoldpath_bench.soak --seed 1 --runs 20."""

import argparse
import sys

from ._operations import Search


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--steps", type=int, default=150)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        search = Search(seed)
        findings = search.run(arguments.steps)
        failed += bool(findings.faults)
        print(
            f"seed={seed} steps={arguments.steps} requests={findings.requests} "
            f"done={findings.done} not_run={findings.not_run} "
            f"unknown={findings.unknown} faults={len(findings.faults)}"
        )
        for fault in findings.faults[:5]:
            print(f"  {fault}")
    print(f"soak: runs={arguments.runs} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
