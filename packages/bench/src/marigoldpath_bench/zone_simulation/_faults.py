"""What goes wrong with messages, by seed or by command."""

import random


class MessageFaults:
    """Delays and losses of messages. Delays are in milliseconds."""

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
        """The source of all chance in a world."""
        return self._random

    def delay_ms(self) -> int:
        """Return the delay of one message."""
        return self._random.randint(self.min_delay_ms, self.max_delay_ms)

    def send_delay_ms(self) -> int:
        """Return the time between a decision and its sending, 1 to 5 ms."""
        return self._random.randint(1, 5)

    def loses_request(self, host: str, target: str) -> bool:
        """Return whether a request does not arrive."""
        return (
            self.is_cut(host, target) or self._random.random() < self.request_loss_rate
        )

    def loses_reply(self, host: str, target: str) -> bool:
        """Return whether a reply does not arrive."""
        if target in self.workers_losing_replies or (
            target == TABLE and self.table_loses_replies
        ):
            return True
        return self.is_cut(host, target) or self._random.random() < self.reply_loss_rate

    def doubles_event(self) -> bool:
        """Return whether a host sees an event twice."""
        return self._random.random() < self.event_duplication_rate

    def is_cut(self, host: str, target: str) -> bool:
        """Return whether nothing passes between a host and a target."""
        if target == TABLE and self.table_down:
            return True
        return (host, target) in self.partitions


TABLE = "table"
