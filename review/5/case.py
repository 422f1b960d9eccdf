"""A task fails on the worker that has room, and its other worker is full."""

import asyncio
import sys
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
)

WATCH, PLAN = "a" * 16, "b" * 16
FULL, FREE = "i-000000aa", "i-000000bb"
FINISH_S = 14
LOST_S = 3.0
CPU_MILLIS = 8_000


async def case():
    routes = [route("watch", priority=1), route("plan", priority=2)]
    deployment = Deployment(FOLDER, routes)
    failures = []

    def work(task, run):
        if task.startswith(WATCH):
            return None, ""
        if TROUBLE and not failures:
            failures.append(task)
            return 1.0, "failed"
        return 2.0, "done"

    full = deployment.add_worker(FULL, work, labels=("press", "watch"), cpu=16_000)
    free = deployment.add_worker(FREE, work, labels=("press",), cpu=64_000)
    deployment.add_worker("i-000000cc", work, cpu=64_000)
    try:
        await deployment.start(hosts=2)
        watch = {
            "count": 2,
            "cpu": CPU_MILLIS,
            "mem-mb": 2_000,
            "estimate-ms": 400,
            "long-running": True,
            "required-label": "watch",
        }
        body = {"spec": "watch", "steps": [watch]}
        if not await deployment.submit("watch", WATCH, body):
            raise CaseError("the lasting job was not accepted")
        await asyncio.sleep(2)
        step = {
            "count": 1,
            "cpu": CPU_MILLIS,
            "mem-mb": 2_000,
            "estimate-ms": 2_000,
            "required-label": "press",
        }
        if not await deployment.submit("plan", PLAN, {"spec": "p", "steps": [step]}):
            raise CaseError("the plan was not accepted")
        await asyncio.sleep(FINISH_S)
        able = [full, free]
        waited_s, state = await deployment.lost_for(PLAN, able, lambda _: CPU_MILLIS)
        print(f"the plan is {state}; LOST holds for {waited_s:.1f} s")
        return RULE_BROKEN if waited_s > LOST_S else RULE_HELD
    finally:
        await deployment.stop()


run_case(case)
