"""Waits for the outcomes of requests of any zone and recovers lost ones."""

from typing import Any

import curio

from marigoldpath_core.requests import Outcome, OutcomeKind, Request, RequestKey
from marigoldpath_core.routing import (
    LeaderView,
    RecoveryAction,
    RetryBudget,
    StateLookup,
    decide_recovery,
    should_resubmit_to_next_leader,
)
from marigoldpath_core.settings import DaemonSettings

from ..observability import Telemetry
from ..runtime import Runtime, clock_ms
from ._batches import EntryHostClient, PeerReplyError, PeerUnavailableError
from ._calls import Call, PendingCalls
from ._codec import outcome_of_state
from ._leader_directory import LeaderDirectory
from ._submission import Submission, not_run, unknown
from ._submitter import NotTakenError, Submitter

# A request that does not wait for its answer is accepted or refused within the time
# of a few writes to the table.
ACCEPT_MS = 10_000
# How long a caller's wait goes on beyond the request's deadline, at which the leader
# itself ends the request.
MARGIN_MS = 2_000
# The longest that one call is held; its caller can ask for the state afterwards.
MAX_WAIT_MS = 600_000
CHECK_S = 3.0
# Between looks for the next leader, which reads the row at most once a second.
FIRST_PAUSE_S = 0.05
LAST_PAUSE_S = 0.4
# A lost outcome of a leader that is still there is noticed by asking at each tenth
# check.
ASK_EVERY = 10


class Forwarder:
    """Submits, cancels and asks for requests of any zone."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        *,
        leaders: LeaderDirectory,
        calls: PendingCalls,
        links: EntryHostClient,
        telemetry: Telemetry,
    ) -> None:
        self._calls = calls
        self._leaders = leaders
        self._telemetry = telemetry
        self._budget = RetryBudget(settings.routing)
        self._submitter = Submitter(
            settings,
            runtime,
            leaders=leaders,
            links=links,
            budget=self._budget,
            telemetry=telemetry,
        )

    async def submit(
        self, request: Request, traceparent: str, weight: int = 500
    ) -> Outcome:
        """Return the outcome of a request, or that it is accepted to wait."""
        wait_ms = request.deadline_ms + MARGIN_MS if request.wait else ACCEPT_MS
        submission = Submission(request.key, request, traceparent, weight)
        return await self._call(submission, min(wait_ms, MAX_WAIT_MS))

    async def cancel(self, key: RequestKey) -> Outcome:
        """Return what became of a request that is to be cancelled."""
        return await self._call(Submission(key, None), ACCEPT_MS)

    async def state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return the state of a request, or None when its leader knows none.

        Raises PeerUnavailableError or PeerReplyError when no leader answers.
        """
        leader = await self._submitter.newest_leader(key.availability_zone)
        if leader is None:
            raise PeerUnavailableError(
                f"no leader of {key.availability_zone} serves now"
            )
        return await self._submitter.ask(leader, key)

    async def _call(self, submission: Submission, wait_ms: int) -> Outcome:
        self._budget.count_request(clock_ms())
        call = self._calls.open(submission.key)
        call.move_until_ms = call.opened_ms + wait_ms - MARGIN_MS
        try:
            outcome = await curio.timeout_after(
                wait_ms / 1_000, self._submit_and_wait, call, submission
            )
        except curio.TaskTimeout:
            outcome = _outcome_at_deadline(call)
        finally:
            self._calls.close(call)
        if call.ambiguous and outcome.kind is OutcomeKind.NOT_RUN:
            return unknown(call.key, "a copy of the request may still be on its way")
        return outcome

    async def _submit_and_wait(self, call: Call, submission: Submission) -> Outcome:
        leader: LeaderView | None = None
        try:
            leader = await self._submitter.submit(call, submission)
        except NotTakenError as fault:
            if call.sent:
                return unknown(call.key, str(fault))
            return not_run(call.key, fault.code, str(fault))
        except PeerReplyError as fault:
            outcome = await self._recover(call, submission, None, str(fault))
            if outcome is not None:
                return outcome
        return await self._wait(call, submission, leader)

    async def _wait(
        self, call: Call, submission: Submission, leader: LeaderView | None
    ) -> Outcome:
        """Wait for the outcome, whichever leader gives it."""
        checks = 0
        moving = False
        while True:
            outcome = await call.wait(CHECK_S)
            if outcome is not None and not should_resubmit_to_next_leader(
                outcome, moving
            ):
                return outcome
            if outcome is not None:
                moving = True
                leader = await self._move(call, submission)
                if leader is None:
                    return outcome
                continue
            checks += 1
            zone = call.key.availability_zone
            newest = await self._submitter.newest_leader(zone)
            if newest is None:
                continue
            if leader is not None and _same(newest, leader) and checks % ASK_EVERY:
                continue
            outcome = await self._recover(call, submission, leader, "no outcome yet")
            if outcome is not None:
                return outcome
            leader = newest

    async def _move(self, call: Call, submission: Submission) -> LeaderView | None:
        """Submit to the zone's next leader; None when there is none in time."""
        call.reopen()
        self._telemetry.metrics.count("peer.moves")
        zone = call.key.availability_zone
        pause_s = FIRST_PAUSE_S
        while clock_ms() < call.move_until_ms:
            self._leaders.leader_cache.invalidate(zone)
            await curio.sleep(pause_s)
            pause_s = min(LAST_PAUSE_S, 2 * pause_s)
            later = submission.with_time_left(clock_ms() - call.opened_ms)
            try:
                return await self._submitter.submit(call, later)
            except (NotTakenError, PeerReplyError) as fault:
                self._telemetry.log.debug(
                    "no_next_leader_yet", request=str(call.key), reason=str(fault)
                )
        return None

    async def _recover(
        self,
        call: Call,
        submission: Submission,
        attached_to: LeaderView | None,
        reason: str,
    ) -> Outcome | None:
        """Learn the fate of a submission; None means that its outcome will come."""
        self._telemetry.metrics.count("peer.recoveries")
        facts, outcome = await self._ask(call, attached_to)
        decision = decide_recovery(facts, self._budget, clock_ms())
        self._telemetry.log.info(
            "submission_recovered",
            request=str(call.key),
            reason=reason,
            decision=decision.value,
        )
        if call.outcome is not None:
            return None
        if decision == RecoveryAction.ANSWER:
            return outcome
        if decision == RecoveryAction.UNKNOWN:
            return unknown(call.key, reason)
        if decision == RecoveryAction.RESUBMIT:
            try:
                await self._submitter.submit(call, submission)
            except (NotTakenError, PeerReplyError) as fault:
                return unknown(call.key, str(fault))
        return None

    async def _ask(
        self, call: Call, attached_to: LeaderView | None
    ) -> tuple[StateLookup, Outcome | None]:
        leader = await self._submitter.newest_leader(call.key.availability_zone)
        if leader is None:
            return StateLookup(answered=False), None
        try:
            state = await self._submitter.ask(leader, call.key)
        except (PeerUnavailableError, PeerReplyError):
            return StateLookup(answered=False), None
        outcome = outcome_of_state(call.key, state)
        subscribed = attached_to is not None and _same(leader, attached_to)
        facts = StateLookup(
            answered=True,
            found=state is not None,
            finished=outcome is not None,
            subscribed=subscribed,
        )
        return facts, outcome


def _outcome_at_deadline(call: Call) -> Outcome:
    if call.outcome is not None:
        return call.outcome
    if call.sent:
        return unknown(call.key, "no outcome came before the deadline")
    return not_run(call.key, "no_leader", "no leader took the request in time")


def _same(one: LeaderView, other: LeaderView) -> bool:
    return one[1:4] == other[1:4]
