"""Limits the steps that a scheduling pass examines, so that each gets its turn.

A step that cannot be placed stays waiting. If a pass examined only the most urgent
steps, enough of these would keep all others from starting for ever.
"""

from ._work import Step


class StepRotation:
    """Which steps were examined, over all scheduling passes.

    Half of the steps of a pass are the most urgent ones. The others are those that were
    not examined in this round, the most urgent first; a round ends when all were.
    """

    def __init__(self, max_steps: int) -> None:
        self._max_steps = max_steps
        self._pass = 0
        self._round = 0
        self._examined = 0

    def begin_pass(self) -> None:
        """Begin a scheduling pass."""
        self._pass += 1
        self._examined = 0

    @property
    def is_pass_complete(self) -> bool:
        """Whether this pass may examine no further step."""
        return self._examined >= self._max_steps

    def admit(self, step: Step) -> bool:
        """Return whether to examine a step, the next one by urgency.

        A step may come more than once in a pass.
        """
        is_urgent = self._examined < self._max_steps // 2
        is_repeated = step.examined_pass == self._pass
        if not is_urgent and not is_repeated and step.examined_round == self._round:
            return False
        step.examined_pass = self._pass
        step.examined_round = self._round
        self._examined += 1
        return True

    def end_round(self) -> None:
        """Begin a new round, because no step is left that was not examined."""
        self._round += 1
