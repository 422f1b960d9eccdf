"""The state by which copies of slow runs are started."""

from collections import deque

from ._run import Run
from ._work import Step


class CopyState:
    """The copies of a leader, and the steps whose tasks can have copies."""

    def __init__(self) -> None:
        # The copies with resources allocated on a worker, also those that are stopping.
        # A copy that becomes the primary run of its task is not among them any more.
        self.runs: set[Run] = set()
        # The open steps whose tasks can have copies, in the order of their examination.
        # A step that has been closed is removed when it is examined.
        self.steps: deque[Step] = deque()
        # Whether a Tick has come since runs were last examined for copies.
        self.is_due = False
