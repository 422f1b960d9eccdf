"""Run the soak test: python -m marigoldpath_bench.process_soak --seed 1 --runs 50."""

import argparse
import sys
import tempfile
from pathlib import Path

from ._regressions import SEEDS
from ._run import SoakRun, SoakSettings

MAX_PRINTED_VIOLATIONS = 8


def main() -> int:
    """Run consecutive seeds; return 1 if any run violated a rule."""
    defaults = SoakSettings()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=defaults.hosts)
    parser.add_argument("--workers", type=int, default=defaults.workers)
    parser.add_argument("--seconds", type=float, default=defaults.faults_s)
    parser.add_argument(
        "--logs", type=Path, help="folder for the hosts' logs of failed runs"
    )
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="run the seeds that failed in the past",
    )
    arguments = parser.parse_args()
    settings = SoakSettings(arguments.hosts, arguments.workers, arguments.seconds)
    seeds = list(range(arguments.seed, arguments.seed + arguments.runs))
    if arguments.regressions:
        seeds = sorted(SEEDS)
    failed = sum(_run_seed(seed, settings, arguments.logs) for seed in seeds)
    print(f"process soak: runs={len(seeds)} failed={failed}")
    return 1 if failed else 0


def _run_seed(seed: int, settings: SoakSettings, logs: Path | None) -> bool:
    with tempfile.TemporaryDirectory(prefix="marigoldpath-soak-") as name:
        folder = Path(name)
        result = SoakRun(seed, settings, folder).run()
        counts = " ".join(
            f"{reply.value}={count}"
            for reply, count in result.submission_replies.items()
        )
        print(f"seed={seed} {counts} faults={len(result.violations)}", flush=True)
        if not result.violations:
            return False
        for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
            print(f"  {violation.rule} at {violation.at_ms:.0f} ms: {violation.what}")
        if logs is not None:
            log_folder = logs / f"seed-{seed}"
            log_folder.mkdir(parents=True, exist_ok=True)
            for log in folder.glob("*.log"):
                (log_folder / log.name).write_bytes(log.read_bytes())
            (log_folder / "played.txt").write_text(
                "\n".join(result.injected_faults) + "\n"
            )
    return True


if __name__ == "__main__":
    sys.exit(main())
