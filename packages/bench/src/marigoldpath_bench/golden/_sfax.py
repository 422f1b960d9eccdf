"""The day of Sfax: exchange orders must not be doubled while the week is planned."""

from marigoldpath_core.requests import Size

from ._session import Session, session

ORDER = Size(1_000, 1_000, 0, 1, 1)
ROUND = Size(8_000, 16_000, 0, 2, 4)
RECORD = Size(250, 250, 0, 1, 1)


@session("sfax")
def sfax_day(day: Session) -> None:
    """Orders, rounds and records with refusals, a killed leader and lost workers."""
    day.serve()
    day.apply_sheet(1)
    day.run(1_000)
    for number in range(1, 5):
        _order(day, f"order-{number}", 80)
        day.run(250)
    _refusals(day)
    _rounds(day)
    _failing_worker(day)
    _order(day, "order-running", 9_000)
    day.run(1_000)
    day.kill_leader()
    day.run(8_000)
    day.note("the caller of order-1 comes back with the same id")
    day.callers.resubmit("order-1")
    day.run(1_000)
    day.leave("w2")
    day.run(6_000)
    _order(day, "order-last", 80)
    day.run(2_000)
    day.close_record()


def _order(day: Session, name: str, run_ms: int) -> None:
    day.submit(
        name,
        "exchange",
        "exchange_order",
        size=ORDER,
        repeatable=False,
        deadline_ms=20_000,
        work={"run_ms": run_ms},
    )


def _refusals(day: Session) -> None:
    wide = ROUND._replace(memory_mb=200_000)
    deep = RECORD._replace(accelerators=1)
    day.submit("round-too-wide", "rounds", "round_plan", size=wide, wait=False)
    day.submit("round-too-many", "rounds", "round_plan", size=ROUND, tasks=25)
    day.submit("record-deep", "stores", "issue_record", size=deep)
    day.submit("returns", "stores", "return_order", size=ORDER)
    day.run(1_000)


def _rounds(day: Session) -> None:
    day.note("20 rounds are planned at once, one of them by 3 tasks")
    for number in range(1, 21):
        day.submit(
            f"round-{number}",
            "rounds",
            "round_plan",
            size=ROUND,
            wait=False,
            tasks=3 if number == 10 else 1,
            deadline_ms=2_000 if number == 20 else 60_000,
            work={"run_ms": 2_000},
        )
    day.run(400)
    _order(day, "order-busy", 80)
    day.run(1_500)
    day.cancel("round-15")
    day.run(9_000)


def _failing_worker(day: Session) -> None:
    day.fail("w6", True)
    for number in range(1, 7):
        day.submit(
            f"retried-{number}",
            "rounds",
            "round_plan",
            size=ROUND,
            work={"run_ms": 300},
        )
        day.run(400)
    day.fail("w6", False)
    day.run(1_000)
