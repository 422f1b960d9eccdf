"""State machine of a caller for one request; it performs no input or output."""

import hashlib
from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.requests import RequestPayload

RETRY_DELAY_MS = 100
POLL_INTERVAL_MS = 200
STATE_QUERY_LIMIT_MS = 40_000
# 503 means that the request was not run, 504 that its outcome is unknown. In both
# cases the caller may submit the same id again.
RETRYABLE_STATUSES = (503, 504)


class CallOutcome(StrEnum):
    """The outcome of a request for its caller.

    `accepted` is the outcome of long-running requests. `failed` means that the request
    has no answer because its task failed or its caller cancelled it.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    ACCEPTED = "accepted"


class StepKind(StrEnum):
    """The caller's next action."""

    SUBMIT = "submit"
    QUERY_STATE = "ask"
    FINISH = "finish"


class Step(NamedTuple):
    """The next action and the delay before it."""

    kind: StepKind
    delay_ms: int = 0


class CallResult(NamedTuple):
    """The outcome of one request; `latency_ms` counts from its first submission."""

    name: str
    request: RequestPayload
    ending: CallOutcome
    latency_ms: int
    attempts: int
    code: str = ""

    @property
    def wait_ms(self) -> int:
        """The latency minus the run time of the task."""
        return max(0, self.latency_ms - (self.request["work"].get("run_ms") or 0))


class Call:
    """A caller's view of one request.

    Within the request's deadline the caller submits the same id again after a lost
    reply or the status 503 or 504. If an attempt may have run, the caller then queries
    the state until the outcome is known, until the zone replies after the deadline that
    it is unknown, or until `STATE_QUERY_LIMIT_MS` after the deadline.
    """

    def __init__(
        self, request: RequestPayload, now_ms: int, is_long_running: bool
    ) -> None:
        self._request = request
        self._is_long_running = is_long_running
        self._started_ms = now_ms
        self._deadline_ms = now_ms + request["deadline_ms"]
        self._ambiguous = False
        self._accepted = False
        self._attempts = 0
        self._outcome: CallOutcome | None = None
        self._finished_ms = now_ms
        self._code = ""

    @property
    def name(self) -> str:
        """The identity `team/zone/id`."""
        request = self._request
        return f"{request['team']}/{request['availability_zone']}/{request['id']}"

    @property
    def deadline_ms(self) -> int:
        """The request's deadline on the caller's clock."""
        return self._deadline_ms

    def result(self) -> CallResult:
        """Return the result; raise ValueError if the request has no outcome yet."""
        if self._outcome is None:
            raise ValueError(f"{self.name} has no outcome yet")
        latency_ms = self._finished_ms - self._started_ms
        return CallResult(
            self.name,
            self._request,
            self._outcome,
            latency_ms,
            self._attempts,
            self._code,
        )

    def on_not_sent(self, now_ms: int) -> Step:
        """Handle a submission for which no connection could be established."""
        return self._retry(now_ms, RETRY_DELAY_MS, "not_sent")

    def on_reply_lost(self, now_ms: int) -> Step:
        """Handle a submission that was sent and whose reply was lost."""
        self._attempts += 1
        self._ambiguous = True
        return self._retry(now_ms, RETRY_DELAY_MS, "reply_lost")

    def on_reply(self, now_ms: int, status: int, payload: dict[str, Any]) -> Step:
        """Handle the reply to a submission."""
        self._attempts += 1
        if status == 200:
            return self._finish_answered(now_ms, payload)
        if status == 202:
            self._accepted = True
            if self._is_long_running:
                return self._finish(now_ms, CallOutcome.ACCEPTED)
            return Step(StepKind.QUERY_STATE, POLL_INTERVAL_MS)
        if payload.get("outcome") == "unknown":
            self._ambiguous = True
        code = str(payload.get("code", status))
        if status in RETRYABLE_STATUSES:
            delay_ms = max(RETRY_DELAY_MS, int(payload.get("retry_after_ms") or 0))
            return self._retry(now_ms, delay_ms, code)
        return self._stop_submitting(now_ms, code)

    def on_state_reply(self, now_ms: int, status: int, payload: dict[str, Any]) -> Step:
        """Handle the reply to a query for the state; status 0 means no reply."""
        if status == 200 and payload.get("outcome") == "done":
            return self._finish_answered(now_ms, payload)
        is_refused = status == 200 and payload.get("outcome") == "not_run"
        is_absent = status == 404 and not self._accepted
        if is_refused or is_absent:
            return self._finish(now_ms, CallOutcome.NOT_RUN)
        limit_ms = self._deadline_ms
        if status != 200 or payload.get("outcome") != "unknown":
            limit_ms += STATE_QUERY_LIMIT_MS
        if now_ms >= limit_ms:
            return self._finish(now_ms, CallOutcome.UNKNOWN)
        return Step(StepKind.QUERY_STATE, POLL_INTERVAL_MS)

    def _retry(self, now_ms: int, delay_ms: int, code: str) -> Step:
        if now_ms + delay_ms < self._deadline_ms:
            self._code = code
            return Step(StepKind.SUBMIT, delay_ms)
        return self._stop_submitting(now_ms, code)

    def _stop_submitting(self, now_ms: int, code: str) -> Step:
        self._code = code
        if self._ambiguous:
            return Step(StepKind.QUERY_STATE, 0)
        return self._finish(now_ms, CallOutcome.NOT_RUN)

    def _finish_answered(self, now_ms: int, payload: dict[str, Any]) -> Step:
        answer = payload.get("answer")
        self._code = str(payload.get("code") or "")
        if answer is None and self._code:
            return self._finish(now_ms, CallOutcome.FAILED)
        is_intact = is_answer_to(self.name, answer)
        return self._finish(
            now_ms, CallOutcome.DONE if is_intact else CallOutcome.WRONG
        )

    def _finish(self, now_ms: int, outcome: CallOutcome) -> Step:
        self._outcome = outcome
        self._finished_ms = now_ms
        return Step(StepKind.FINISH)


def is_answer_to(name: str, answer: Any) -> bool:
    """Return whether an answer is intact and contains the request's identity."""
    if not isinstance(answer, dict):
        return False
    text = answer.get("text")
    if not isinstance(text, str) or f"{name}#" not in text:
        return False
    data = text.encode()
    return (
        answer.get("length") == len(data)
        and answer.get("digest") == hashlib.sha256(data).hexdigest()
    )
