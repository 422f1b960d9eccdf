"""Why connections are closed, and which closures are logged."""

from enum import Enum


class CloseReason(Enum):
    """The limit at which a connection was closed or a request refused."""

    BUDGET_FULL = "budget_full"
    HANDLING_FULL = "handling_full"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TOO_SLOW = "head_too_slow"
    BODY_TOO_SLOW = "body_too_slow"
    ANSWER_NOT_READ = "answer_not_read"
    NO_REQUEST = "no_request"
    TOO_MANY_CONNECTIONS = "too_many_connections"


class ClosureLog:
    """Limits the log lines about closures to one for each reason and interval."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._logged_s: dict[CloseReason, float] = {}
        self._unlogged: dict[CloseReason, int] = {}

    def record(self, reason: CloseReason, now_s: float) -> int | None:
        """Count a closure, and decide whether to log it.

        Return the number of closures that were not logged since the last line, or None
        if no line is due.
        """
        logged_s = self._logged_s.get(reason)
        if logged_s is not None and now_s < logged_s + self._interval_s:
            self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
            return None
        self._logged_s[reason] = now_s
        return self._unlogged.pop(reason, 0)
