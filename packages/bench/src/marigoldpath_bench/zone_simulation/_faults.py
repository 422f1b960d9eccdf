"""Delays, losses and duplicates of messages: seeded, or set by a test."""

import random


class MessageFaults:
    """Decide which messages of a simulation are delayed, lost or duplicated.

    The rates are probabilities. `partitions` holds the pairs of a host and a target
    between which no message passes.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.min_delay_ms = 1
        self.max_delay_ms = 8
        self.request_loss_rate = 0.0
        self.reply_loss_rate = 0.0
        self.event_duplication_rate = 0.0
        self.table_down = False
        self.table_loses_replies = False
        self.partitions: set[tuple[str, str]] = set()
        self.workers_losing_replies: set[str] = set()

    @property
    def random(self) -> random.Random:
        """The only random generator of a simulation."""
        return self._random

    def delay_ms(self) -> int:
        """Return the delay of one message."""
        return self._random.randint(self.min_delay_ms, self.max_delay_ms)

    def send_delay_ms(self) -> int:
        """Return the delay between a decision and the sending of its message."""
        return self._random.randint(1, 5)

    def drops_request(self, host: str, target: str) -> bool:
        """Return whether a request from a host to a target is lost."""
        return (
            self.is_partitioned(host, target)
            or self._random.random() < self.request_loss_rate
        )

    def drops_reply(self, host: str, target: str) -> bool:
        """Return whether the reply of a target to a host is lost."""
        if target in self.workers_losing_replies or (
            target == TABLE and self.table_loses_replies
        ):
            return True
        return (
            self.is_partitioned(host, target)
            or self._random.random() < self.reply_loss_rate
        )

    def duplicates_event(self) -> bool:
        """Return whether a host receives an event twice."""
        return self._random.random() < self.event_duplication_rate

    def is_partitioned(self, host: str, target: str) -> bool:
        """Return whether no message passes between a host and a target."""
        if target == TABLE and self.table_down:
            return True
        return (host, target) in self.partitions


TABLE = "table"
