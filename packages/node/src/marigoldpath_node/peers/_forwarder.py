"""Forwards requests to the leaders of zones and recovers lost outcomes."""

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
from ._calls import PendingCall, PendingCalls
from ._codec import decode_state_outcome
from ._leader_directory import LeaderDirectory
from ._submission import Submission, not_run_outcome, unknown_outcome
from ._submitter import NotSubmittedError, Submitter

# Time limit for accepting or refusing a request whose caller does not wait for the
# answer; this takes a few writes to the platform's table.
ACCEPT_TIMEOUT_MS = 10_000
# Time that a call waits beyond the request's deadline. The leader itself terminates the
# request at the deadline.
DEADLINE_MARGIN_MS = 2_000
# Longest duration of one call; its caller can query the state afterwards.
MAX_WAIT_MS = 600_000
CHECK_INTERVAL_S = 3.0
# Delays between attempts to find the next leader. The leader row is read at most once a
# second.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
# While the leader stays the same, the state of a request is queried at every tenth
# check, which detects an outcome that was lost on the way from that leader.
CHECKS_PER_STATE_QUERY = 10


class Forwarder:
    """Submits, cancels and queries requests of any zone."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        *,
        leaders: LeaderDirectory,
        calls: PendingCalls,
        peer_client: EntryHostClient,
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
            peer_client=peer_client,
            budget=self._budget,
            telemetry=telemetry,
        )

    async def submit(
        self, request: Request, traceparent: str, size_bytes: int = 500
    ) -> Outcome:
        """Submit a request and return its outcome.

        For a request whose caller does not wait, the outcome is that it was accepted.
        """
        wait_ms = (
            request.deadline_ms + DEADLINE_MARGIN_MS
            if request.wait
            else ACCEPT_TIMEOUT_MS
        )
        submission = Submission(request.key, request, traceparent, size_bytes)
        return await self._call(submission, min(wait_ms, MAX_WAIT_MS))

    async def cancel(self, key: RequestKey) -> Outcome:
        """Cancel a request and return its outcome."""
        return await self._call(Submission(key, None), ACCEPT_TIMEOUT_MS)

    async def state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return the state of a request, or None if its leader has no record of it.

        Raise PeerUnavailableError or PeerReplyError if no leader replies.
        """
        leader = await self._submitter.serving_leader(key.availability_zone)
        if leader is None:
            raise PeerUnavailableError(
                f"no leader of {key.availability_zone} serves now"
            )
        return await self._submitter.query_state(leader, key)

    async def _call(self, submission: Submission, wait_ms: int) -> Outcome:
        self._budget.count_request(clock_ms())
        call = self._calls.open(submission.key)
        call.resubmit_until_ms = call.opened_ms + wait_ms - DEADLINE_MARGIN_MS
        try:
            outcome = await curio.timeout_after(
                wait_ms / 1_000, self._submit_and_wait, call, submission
            )
        except curio.TaskTimeout:
            outcome = _outcome_at_deadline(call)
        finally:
            self._calls.close(call)
        if call.ambiguous and outcome.kind is OutcomeKind.NOT_RUN:
            return unknown_outcome(
                call.key, "a copy of the request may still be on its way"
            )
        return outcome

    async def _submit_and_wait(
        self, call: PendingCall, submission: Submission
    ) -> Outcome:
        leader: LeaderView | None = None
        try:
            leader = await self._submitter.submit(call, submission)
        except NotSubmittedError as error:
            if call.sent:
                return unknown_outcome(call.key, str(error))
            return not_run_outcome(call.key, error.code, str(error))
        except PeerReplyError as error:
            outcome = await self._recover(call, submission, None, str(error))
            if outcome is not None:
                return outcome
        return await self._wait(call, submission, leader)

    async def _wait(
        self, call: PendingCall, submission: Submission, leader: LeaderView | None
    ) -> Outcome:
        """Wait for the outcome, which may come from any leader of the zone."""
        checks = 0
        handed_over = False
        while True:
            outcome = await call.wait(CHECK_INTERVAL_S)
            if outcome is not None and not should_resubmit_to_next_leader(
                outcome, handed_over
            ):
                return outcome
            if outcome is not None:
                handed_over = True
                leader = await self._resubmit_to_next_leader(call, submission)
                if leader is None:
                    return outcome
                continue
            checks += 1
            zone = call.key.availability_zone
            current = await self._submitter.serving_leader(zone)
            if current is None:
                continue
            if (
                leader is not None
                and _is_same_term(current, leader)
                and checks % CHECKS_PER_STATE_QUERY
            ):
                continue
            outcome = await self._recover(call, submission, leader, "no outcome yet")
            if outcome is not None:
                return outcome
            leader = current

    async def _resubmit_to_next_leader(
        self, call: PendingCall, submission: Submission
    ) -> LeaderView | None:
        """Submit to the zone's next leader; return None if there is none in time."""
        call.reopen()
        self._telemetry.metrics.count("peer.moves")
        zone = call.key.availability_zone
        backoff_s = INITIAL_BACKOFF_S
        while clock_ms() < call.resubmit_until_ms:
            self._leaders.leader_cache.invalidate(zone)
            await curio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            shortened = submission.with_shortened_deadline(clock_ms() - call.opened_ms)
            try:
                return await self._submitter.submit(call, shortened)
            except (NotSubmittedError, PeerReplyError) as error:
                self._telemetry.log.debug(
                    "no_next_leader_yet", request=str(call.key), reason=str(error)
                )
        return None

    async def _recover(
        self,
        call: PendingCall,
        submission: Submission,
        subscribed_to: LeaderView | None,
        reason: str,
    ) -> Outcome | None:
        """Query the state of a submission, and submit it again if necessary.

        Return the outcome for the caller. Return None if `call` received its outcome in
        the meantime or a leader is still expected to send it; then wait on `call`.
        """
        self._telemetry.metrics.count("peer.recoveries")
        lookup, outcome = await self._look_up_state(call, subscribed_to)
        decision = decide_recovery(lookup, self._budget, clock_ms())
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
            return unknown_outcome(call.key, reason)
        if decision == RecoveryAction.RESUBMIT:
            try:
                await self._submitter.submit(call, submission)
            except (NotSubmittedError, PeerReplyError) as error:
                return unknown_outcome(call.key, str(error))
        return None

    async def _look_up_state(
        self, call: PendingCall, subscribed_to: LeaderView | None
    ) -> tuple[StateLookup, Outcome | None]:
        leader = await self._submitter.serving_leader(call.key.availability_zone)
        if leader is None:
            return StateLookup(answered=False), None
        try:
            state = await self._submitter.query_state(leader, call.key)
        except (PeerUnavailableError, PeerReplyError):
            return StateLookup(answered=False), None
        outcome = decode_state_outcome(call.key, state)
        subscribed = subscribed_to is not None and _is_same_term(leader, subscribed_to)
        lookup = StateLookup(
            answered=True,
            found=state is not None,
            finished=outcome is not None,
            subscribed=subscribed,
        )
        return lookup, outcome


def _outcome_at_deadline(call: PendingCall) -> Outcome:
    if call.outcome is not None:
        return call.outcome
    if call.sent:
        return unknown_outcome(call.key, "no outcome came before the deadline")
    return not_run_outcome(call.key, "no_leader", "no leader took the request in time")


def _is_same_term(one: LeaderView, other: LeaderView) -> bool:
    return one[1:4] == other[1:4]
