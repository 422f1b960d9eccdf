"""Codes of outcomes, as sent to callers."""

from enum import StrEnum


class OutcomeCode(StrEnum):
    """The reason for the refusal or the outcome of a request."""

    CANCELLED = "cancelled"
    DEADLINE_PASSED = "deadline_passed"
    DRAINING = "draining"
    ID_CONFLICT = "id_conflict"
    LEADER_CHANGED = "leader_changed"
    NEVER_FITS = "never_fits"
    NOT_FOUND = "not_found"
    NOT_LEADER = "not_leader"
    OUTCOME_LOST = "outcome_lost"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    TASK_FAILED = "task_failed"
    TOO_MANY_FAILURES = "too_many_failures"
    ZONE_RECOVERING = "zone_recovering"
