"""Run a fleet until Ctrl-C: python -m marigoldpath_bench.fleet."""

import signal
import sys
from types import FrameType

import curio
from cyclopts import App

from marigoldpath_bench.deployment import (
    REPOSITORY_ROOT,
    count_ports,
    find_deployment,
    load_deployment,
    plan_run,
)

from ._environment import environment_lines
from ._fleet import Fleet, free_base_port

ENVIRONMENT_FILE = REPOSITORY_ROOT / "run" / "fleet.env"

app = App(name="fleet", help="Run the fakes and daemons of a deployment.")


def _exit_on_signal(number: int, _frame: FrameType | None) -> None:
    raise SystemExit(128 + number)


@app.default
def main(*, deployment: str, daemon_python: str) -> int:
    """Print the addresses once all zones have leaders and run until Ctrl-C.

    Parameters
    ----------
    deployment: skala, sfax or hanbit.
    daemon_python: the Python interpreter for the daemons.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    # A shell starts background processes with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    loaded = load_deployment(find_deployment(deployment) / "deployment.json")
    base_port = free_base_port(count_ports(loaded))
    folder = REPOSITORY_ROOT / "run" / f"{loaded.name}-fleet-{base_port}"
    plan = plan_run(loaded, base_port, folder)
    try:
        with Fleet(plan, daemon_python) as fleet:
            curio.run(_start, fleet)
            lines = environment_lines(plan)
            ENVIRONMENT_FILE.write_text("".join(f"{line}\n" for line in lines))
            _print_addresses(fleet)
            while True:
                signal.pause()
    except KeyboardInterrupt:
        print("all processes have ended")
        return 0


async def _start(fleet: Fleet) -> None:
    await fleet.start()
    await fleet.close()


def _print_addresses(fleet: Fleet) -> None:
    plan = fleet.plan
    for process in (plan.platform, *plan.daemons):
        print(f"{process.name:12} {process.address}")
    print(f"{len(plan.worker_hosts)} workers, logs in run/{plan.folder.name}")
    print("in another terminal, in this folder: . run/fleet.env", flush=True)


if __name__ == "__main__":
    sys.exit(app())
