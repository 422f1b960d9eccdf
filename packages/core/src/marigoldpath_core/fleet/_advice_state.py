"""The state by which steps get slow advice requests."""

from typing import NamedTuple

from ._work import Step


class RepeatedRequest(NamedTuple):
    """A step that has requested advice before, and whether a task could start now."""

    step: Step
    has_room: bool


class SlowAdviceState:
    """The slow requests in flight, and whose turn the next one is."""

    def __init__(self) -> None:
        # The number of hosts that may send slow requests.
        self.hosts = 0
        # The workers of the requests in flight, by step.
        self.in_flight: dict[tuple[str, int, int], tuple[str, ...]] = {}
        # The steps of this scheduling pass that need a request, by urgency.
        self.candidates: list[Step] = []
        # Whether steps that have requested advice before waited at the last Tick.
        self.repeated_wait = False
        # Whether the last request that was sent was a repeated one.
        self.last_was_repeated = False
