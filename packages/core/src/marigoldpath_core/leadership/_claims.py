"""Claims: leases on the workers themselves that say who may place on them."""

import zlib
from enum import StrEnum
from typing import NamedTuple

from marigoldpath_core.messages import (
    Effect,
    ListTasks,
    RenewLeases,
    RunningTask,
    Start,
    StartTasks,
    StopTasks,
    WorkerReport,
)
from marigoldpath_core.requests import Size
from marigoldpath_core.settings import DaemonSettings

CLAIM_PREFIX = "claim:"
REPLY_TIMEOUT_MS = 2_000
RENEWALS_PER_LEASE = 3
SPREAD_STEPS = 32


class ClaimPhase(StrEnum):
    """How far a claim on a worker has come."""

    ABSENT = "absent"
    WAITING = "waiting"
    SETTLING = "settling"
    HELD = "held"


class ClaimName(NamedTuple):
    """The parts of a claim's task name."""

    availability_zone: str
    epoch: int
    host: str


def claim_name(availability_zone: str, epoch: int, host: str) -> str:
    """Return the task name of a claim."""
    return f"{CLAIM_PREFIX}{availability_zone}:{epoch}:{host}"


def parse_claim_name(task: str) -> ClaimName | None:
    """Return the parts of a claim's task name, or None for any other task."""
    if not task.startswith(CLAIM_PREFIX):
        return None
    parts = task[len(CLAIM_PREFIX) :].split(":", 2)
    if len(parts) != 3 or not parts[1].isdigit():
        return None
    return ClaimName(parts[0], int(parts[1]), parts[2])


class Claim:
    """The claim of one epoch on one worker.

    Times ending in `clock_ms` are on the worker's clock, the others on this host's.
    The owner of a worker is the first live claim in the worker's start order.
    """

    def __init__(self, settings: DaemonSettings, worker: str, epoch: int) -> None:
        self._settings = settings
        self._worker = worker
        self._epoch = epoch
        self._name = claim_name(settings.availability_zone, epoch, settings.host)
        self._phase = ClaimPhase.ABSENT
        self._sent_at_ms = -(10**9)
        self._in_flight = False
        self._is_starting = False
        self._requested_at_ms = -(10**9)
        self._requested_until_ms = 0
        self._renewed_at_ms = -(10**9)
        self._until_clock_ms = 0
        self._settled_clock_ms = 0
        self._clock_ms = 0
        self._clock_read_at_ms = 0
        self._interval_ms = self._renewal_ms()

    @property
    def phase(self) -> ClaimPhase:
        """How far the claim has come."""
        return self._phase

    @property
    def until_clock_ms(self) -> int:
        """The end of the claim on the worker's clock."""
        return self._until_clock_ms

    def clock_ms(self, now_ms: int) -> int:
        """Return the least that the worker's clock can show now, without drift."""
        return self._clock_ms + now_ms - self._clock_read_at_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the claim is held and was renewed within its lease."""
        lease_ms = self._settings.leadership.claim_lease_ms
        return (
            self._phase is ClaimPhase.HELD and now_ms - self._renewed_at_ms < lease_ms
        )

    def tick(self, now_ms: int) -> list[Effect]:
        """Renew the claim, or start it, when that is due."""
        if self._in_flight and now_ms - self._sent_at_ms < REPLY_TIMEOUT_MS:
            return []
        self._is_starting = False
        leadership = self._settings.leadership
        due_ms = self._sent_at_ms + self._due_after_ms()
        settles = (
            self._phase is ClaimPhase.SETTLING
            and self.clock_ms(now_ms) >= self._settled_clock_ms
        )
        if now_ms < due_ms and not settles:
            return []
        self._sent(now_ms)
        if self._phase is ClaimPhase.ABSENT:
            return [ListTasks(self._worker)]
        self._interval_ms = self._renewal_ms()
        until_ms = self.clock_ms(now_ms) + leadership.claim_lease_ms
        self._requested(now_ms, until_ms)
        return [RenewLeases(self._worker, self._settings.host, (self._name,), until_ms)]

    def on_report(
        self, report: WorkerReport, now_ms: int, skip_settling: bool = False
    ) -> list[Effect]:
        """Learn from a worker's list where the claim stands in it."""
        self._in_flight = self._is_starting
        self._clock_ms, self._clock_read_at_ms = report.clock_ms, now_ms
        own, is_first = self._find(report)
        if own is None:
            if self._phase is not ClaimPhase.ABSENT:
                self._phase = ClaimPhase.ABSENT
                return []
            return [] if self._is_starting else self._start(report, now_ms)
        self._until_clock_ms = own.lease_until_ms
        # The list may answer an earlier message; only a lease as long as requested
        # shows that the renewal itself has arrived.
        if own.lease_until_ms >= self._requested_until_ms:
            self._renewed_at_ms = self._requested_at_ms
        self._advance(report, is_first, skip_settling)
        return []

    def on_start_replied(self, now_ms: int) -> list[Effect]:
        """Look where the claim that was just started stands."""
        self._is_starting = False
        self._sent(now_ms)
        return [ListTasks(self._worker)]

    def on_failure(self) -> None:
        """Note that the worker did not answer."""
        self._in_flight = self._is_starting = False

    def check_expired(self, now_ms: int) -> bool:
        """Drop a claim that was not renewed in time; return whether it was held."""
        lease_ms = self._settings.leadership.claim_lease_ms
        if self._phase is ClaimPhase.ABSENT:
            return False
        if now_ms - self._renewed_at_ms < lease_ms:
            return False
        was_held = self._phase is ClaimPhase.HELD
        self._phase = ClaimPhase.ABSENT
        return was_held

    def withdraw(self) -> list[Effect]:
        """Take the claim off the worker."""
        if self._phase is ClaimPhase.ABSENT:
            return []
        self._phase = ClaimPhase.ABSENT
        return [StopTasks(self._worker, (self._name,))]

    def _sent(self, now_ms: int) -> None:
        self._sent_at_ms, self._in_flight = now_ms, True

    def _requested(self, now_ms: int, until_ms: int) -> None:
        self._requested_at_ms, self._requested_until_ms = now_ms, until_ms

    def _due_after_ms(self) -> int:
        """Return the time between messages to the worker.

        A claim that waits for the end of another looks each beat whether it is first.
        """
        if self._phase in (ClaimPhase.SETTLING, ClaimPhase.HELD):
            return self._interval_ms
        return self._settings.leadership.beat_ms

    def _renewal_ms(self) -> int:
        """Return the time between renewals, so that two may be lost."""
        return self._settings.leadership.claim_lease_ms // RENEWALS_PER_LEASE

    def _first_renewal_ms(self) -> int:
        """Return the time to the first renewal, which spreads the later ones.

        All claims start at the same moment. Renewals that stayed together would hold
        up requests: 513 of them take about 0.2 s of the loop.
        """
        part = zlib.crc32(self._worker.encode()) % SPREAD_STEPS + 1
        return self._renewal_ms() * part // SPREAD_STEPS

    def _find(self, report: WorkerReport) -> tuple[RunningTask | None, bool]:
        """Return this claim in a report, and whether it is the first live claim."""
        is_first = True
        for task in report.tasks:
            if task.lease_until_ms <= report.clock_ms:
                continue
            if task.task == self._name:
                return task, is_first
            if task.task.startswith(CLAIM_PREFIX):
                is_first = False
        return None, False

    def _start(self, report: WorkerReport, now_ms: int) -> list[Effect]:
        self._sent(now_ms)
        self._is_starting = True
        until_ms = report.clock_ms + self._settings.leadership.claim_lease_ms
        self._requested(now_ms, until_ms)
        self._interval_ms = self._first_renewal_ms()
        start = Start(self._name, Size(), until_ms, until_ms, {})
        return [StartTasks(self._worker, self._settings.host, (start,))]

    def _advance(
        self, report: WorkerReport, is_first: bool, skip_settling: bool
    ) -> None:
        if not is_first:
            self._phase = ClaimPhase.WAITING
        elif skip_settling:
            self._phase = ClaimPhase.HELD
        elif self._phase in (ClaimPhase.ABSENT, ClaimPhase.WAITING):
            # A worker that restarted has forgotten the claim of an earlier leader,
            # whose starts stay valid until that claim's end.
            self._phase = ClaimPhase.SETTLING
            self._settled_clock_ms = (
                report.clock_ms + self._settings.leadership.claim_lease_ms
            )
        elif (
            self._phase is ClaimPhase.SETTLING
            and report.clock_ms >= self._settled_clock_ms
        ):
            self._phase = ClaimPhase.HELD
