"""Jobs with `times` are running when the leader's process is killed."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from standins import (  # noqa: E402
    RULE_BROKEN,
    RULE_HELD,
    TROUBLE,
    CaseError,
    Deployment,
    route,
    run_case,
    twice,
)

JOBS = 6
ESTIMATE_MS = 2_500
DOWN_S = 3.5


def work(task, _run):
    """Return how long a task works, 1.5 to 3 s by its number, and that it succeeds."""
    return 1.5 + 0.5 * int(task.rpartition(".")[2]), "done"


async def case():
    deployment = Deployment(FOLDER, [route("plan")])
    for number in range(4):
        deployment.add_worker(f"i-{number:08x}", work)
    try:
        await deployment.start(hosts=2)
        start_at_ms = int(time.time() * 1000) + 1_500
        for number in range(JOBS):
            body = {
                "spec": f"plan {number}",
                "times": 2,
                "start-at-ms": start_at_ms,
                "interval-ms": 6_000,
                "steps": [
                    {
                        "count": 4,
                        "cpu": 4_000,
                        "mem-mb": 2_000,
                        "estimate-ms": ESTIMATE_MS,
                    }
                ],
            }
            if not await deployment.submit("plan", f"{number:016x}", body):
                raise CaseError("a job was not accepted")
        await asyncio.sleep(3.0)
        if TROUBLE:
            leader = deployment.leader()
            await leader.kill()
            await asyncio.sleep(DOWN_S)
            await leader.start()
        await asyncio.sleep(10.0)
        states = await deployment.wait_for_states(list(deployment.jobs), 20)
        violations = twice(deployment.runs, deployment.record.now())
        for line in violations:
            deployment.record(f"TWICE {line}")
        print(f"{len(violations)} violations of TWICE; states {states}")
        return RULE_BROKEN if violations else RULE_HELD
    finally:
        await deployment.stop()


run_case(case)
