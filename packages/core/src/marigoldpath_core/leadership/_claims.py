"""Claims: leased tasks on workers that decide which leader may place tasks there."""

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
RENEWAL_OFFSET_STEPS = 32


class ClaimPhase(StrEnum):
    """State of a claim on a worker.

    A claim is WAITING behind a live claim of another leader, SETTLING until the
    starts of earlier leaders have expired, and HELD when only this leader may place
    tasks on the worker.
    """

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
    The first live claim in the worker's start order owns the worker.
    """

    def __init__(self, settings: DaemonSettings, worker: str, epoch: int) -> None:
        self._settings = settings
        self._worker = worker
        self._epoch = epoch
        self._name = claim_name(settings.availability_zone, epoch, settings.host)
        self._phase = ClaimPhase.ABSENT
        self._sent_at_ms = -(10**9)
        self._in_flight = False
        self._start_in_flight = False
        self._lease_requested_at_ms = -(10**9)
        self._requested_until_clock_ms = 0
        self._renewed_at_ms = -(10**9)
        self._expiry_clock_ms = 0
        self._settling_ends_clock_ms = 0
        self._clock_ms = 0
        self._clock_read_at_ms = 0
        self._interval_ms = self._renewal_interval_ms()

    @property
    def phase(self) -> ClaimPhase:
        """The state of the claim."""
        return self._phase

    @property
    def expiry_clock_ms(self) -> int:
        """The expiry of the claim's lease on the worker's clock."""
        return self._expiry_clock_ms

    def clock_ms(self, now_ms: int) -> int:
        """Return a lower bound of the worker's clock, not corrected for drift."""
        return self._clock_ms + now_ms - self._clock_read_at_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the claim is held and was renewed within its lease."""
        lease_ms = self._settings.leadership.claim_lease_ms
        return (
            self._phase is ClaimPhase.HELD and now_ms - self._renewed_at_ms < lease_ms
        )

    def tick(self, now_ms: int) -> list[Effect]:
        """Renew the claim, or poll the worker before the claim's start, when due."""
        if self._in_flight and now_ms - self._sent_at_ms < REPLY_TIMEOUT_MS:
            return []
        self._start_in_flight = False
        leadership = self._settings.leadership
        due_ms = self._sent_at_ms + self._message_interval_ms()
        has_settled = (
            self._phase is ClaimPhase.SETTLING
            and self.clock_ms(now_ms) >= self._settling_ends_clock_ms
        )
        if now_ms < due_ms and not has_settled:
            return []
        self._record_send(now_ms)
        if self._phase is ClaimPhase.ABSENT:
            return [ListTasks(self._worker)]
        self._interval_ms = self._renewal_interval_ms()
        until_clock_ms = self.clock_ms(now_ms) + leadership.claim_lease_ms
        self._record_lease_request(now_ms, until_clock_ms)
        return [
            RenewLeases(
                self._worker, self._settings.host, (self._name,), until_clock_ms
            )
        ]

    def on_report(
        self, report: WorkerReport, now_ms: int, skip_settling: bool = False
    ) -> list[Effect]:
        """Update the claim from its worker's report; start it if it is absent.

        With `skip_settling`, the claim is held as soon as it owns the worker.
        """
        self._in_flight = self._start_in_flight
        self._clock_ms, self._clock_read_at_ms = report.clock_ms, now_ms
        own_claim, is_first = self._find_in_report(report)
        if own_claim is None:
            if self._phase is not ClaimPhase.ABSENT:
                self._phase = ClaimPhase.ABSENT
                return []
            return [] if self._start_in_flight else self._start(report, now_ms)
        self._expiry_clock_ms = own_claim.lease_until_ms
        # The report can be the reply to an earlier message. Only a lease at least as
        # long as requested shows that the renewal itself has arrived.
        if own_claim.lease_until_ms >= self._requested_until_clock_ms:
            self._renewed_at_ms = self._lease_requested_at_ms
        self._update_phase(report, is_first, skip_settling)
        return []

    def on_start_replied(self, now_ms: int) -> list[Effect]:
        """Poll the worker for the state of the claim that was just started."""
        self._start_in_flight = False
        self._record_send(now_ms)
        return [ListTasks(self._worker)]

    def on_request_failed(self) -> None:
        """Allow another message after the worker did not reply to the last one."""
        self._in_flight = self._start_in_flight = False

    def drop_if_expired(self, now_ms: int) -> bool:
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
        """Stop the claim's task on the worker."""
        if self._phase is ClaimPhase.ABSENT:
            return []
        self._phase = ClaimPhase.ABSENT
        return [StopTasks(self._worker, (self._name,))]

    def _record_send(self, now_ms: int) -> None:
        self._sent_at_ms, self._in_flight = now_ms, True

    def _record_lease_request(self, now_ms: int, until_clock_ms: int) -> None:
        self._lease_requested_at_ms, self._requested_until_clock_ms = (
            now_ms,
            until_clock_ms,
        )

    def _message_interval_ms(self) -> int:
        """Return the time between messages to the worker.

        While another claim owns the worker, the worker is polled at each heartbeat.
        """
        if self._phase in (ClaimPhase.SETTLING, ClaimPhase.HELD):
            return self._interval_ms
        return self._settings.leadership.beat_ms

    def _renewal_interval_ms(self) -> int:
        """Return the renewal interval, which tolerates two lost renewals in a row."""
        return self._settings.leadership.claim_lease_ms // RENEWALS_PER_LEASE

    def _first_renewal_delay_ms(self) -> int:
        """Return the delay of the first renewal, which staggers the later ones.

        All claims start at the same moment. If their renewals were sent together,
        requests would be delayed: 513 renewals occupy the event loop for about 0.2 s.
        """
        offset_step = zlib.crc32(self._worker.encode()) % RENEWAL_OFFSET_STEPS + 1
        return self._renewal_interval_ms() * offset_step // RENEWAL_OFFSET_STEPS

    def _find_in_report(self, report: WorkerReport) -> tuple[RunningTask | None, bool]:
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
        self._record_send(now_ms)
        self._start_in_flight = True
        until_clock_ms = report.clock_ms + self._settings.leadership.claim_lease_ms
        self._record_lease_request(now_ms, until_clock_ms)
        self._interval_ms = self._first_renewal_delay_ms()
        start = Start(self._name, Size(), until_clock_ms, until_clock_ms, {})
        return [StartTasks(self._worker, self._settings.host, (start,))]

    def _update_phase(
        self, report: WorkerReport, is_first: bool, skip_settling: bool
    ) -> None:
        if not is_first:
            self._phase = ClaimPhase.WAITING
        elif skip_settling:
            self._phase = ClaimPhase.HELD
        elif self._phase in (ClaimPhase.ABSENT, ClaimPhase.WAITING):
            # A restarted worker no longer reports the claim of an earlier leader,
            # whose starts stay valid until that claim expires.
            self._phase = ClaimPhase.SETTLING
            self._settling_ends_clock_ms = (
                report.clock_ms + self._settings.leadership.claim_lease_ms
            )
        elif (
            self._phase is ClaimPhase.SETTLING
            and report.clock_ms >= self._settling_ends_clock_ms
        ):
            self._phase = ClaimPhase.HELD
