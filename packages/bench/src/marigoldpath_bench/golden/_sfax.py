"""The session of Sfax: exchange orders run at most once while rounds are planned."""

from marigoldpath_core.requests import Size

from ._session import Session, session

ORDER_SIZE = Size(1_000, 1_000, 0, 1, 1)
ROUND_SIZE = Size(8_000, 16_000, 0, 2, 4)
RECORD_SIZE = Size(250, 250, 0, 1, 1)


@session("sfax")
def run_sfax_session(zone_session: Session) -> None:
    """Submit orders, rounds and records; reject some, kill a leader, lose workers."""
    zone_session.serve()
    zone_session.apply_sheet(1)
    zone_session.run(1_000)
    for number in range(1, 5):
        _submit_order(zone_session, f"order-{number}", 80)
        zone_session.run(250)
    _submit_rejected_requests(zone_session)
    _submit_rounds(zone_session)
    _submit_to_failing_worker(zone_session)
    _submit_order(zone_session, "order-running", 9_000)
    zone_session.run(1_000)
    zone_session.kill_leader()
    zone_session.run(8_000)
    zone_session.note("the caller of order-1 comes back with the same id")
    zone_session.callers.resubmit("order-1")
    zone_session.run(1_000)
    zone_session.mark_draining("w2")
    zone_session.run(6_000)
    _submit_order(zone_session, "order-last", 80)
    zone_session.run(2_000)
    zone_session.save_day_record()


def _submit_order(zone_session: Session, name: str, run_ms: int) -> None:
    zone_session.submit(
        name,
        "exchange",
        "exchange_order",
        size=ORDER_SIZE,
        repeatable=False,
        deadline_ms=20_000,
        work={"run_ms": run_ms},
    )


def _submit_rejected_requests(zone_session: Session) -> None:
    oversized = ROUND_SIZE._replace(memory_mb=200_000)
    with_accelerator = RECORD_SIZE._replace(accelerators=1)
    zone_session.submit(
        "round-too-wide", "rounds", "round_plan", size=oversized, wait=False
    )
    zone_session.submit(
        "round-too-many", "rounds", "round_plan", size=ROUND_SIZE, tasks=25
    )
    zone_session.submit("record-deep", "stores", "issue_record", size=with_accelerator)
    zone_session.submit("returns", "stores", "return_order", size=ORDER_SIZE)
    zone_session.run(1_000)


def _submit_rounds(zone_session: Session) -> None:
    zone_session.note("20 rounds are planned at once, one of them by 3 tasks")
    for number in range(1, 21):
        zone_session.submit(
            f"round-{number}",
            "rounds",
            "round_plan",
            size=ROUND_SIZE,
            wait=False,
            tasks=3 if number == 10 else 1,
            deadline_ms=2_000 if number == 20 else 60_000,
            work={"run_ms": 2_000},
        )
    zone_session.run(400)
    _submit_order(zone_session, "order-busy", 80)
    zone_session.run(1_500)
    zone_session.cancel("round-15")
    zone_session.run(9_000)


def _submit_to_failing_worker(zone_session: Session) -> None:
    zone_session.set_failing("w6", True)
    for number in range(1, 7):
        zone_session.submit(
            f"retried-{number}",
            "rounds",
            "round_plan",
            size=ROUND_SIZE,
            work={"run_ms": 300},
        )
        zone_session.run(400)
    zone_session.set_failing("w6", False)
    zone_session.run(1_000)
