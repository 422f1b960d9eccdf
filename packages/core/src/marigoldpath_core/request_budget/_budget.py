"""The accounts of the connections of a process, and the choice which to close."""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

# A full budget is reduced to this fraction. Otherwise many connections that receive at
# the same time would cause a choice, which looks at all of them, for each read.
REDUCED_FRACTION = 15 / 16
# Large requests that are handled use at most this fraction of the budget. The rest is
# for small requests, such as probes, and for what is received and sent: it must be
# possible to reduce a full budget without closing small responses.
LARGE_REQUESTS_FRACTION = 7 / 8
# The held bytes up to which a request is small.
SMALL_REQUEST_BYTES = 16_384


class BudgetLimits(NamedTuple):
    """Limits of one process over all its listeners.

    `max_bytes` limits the bytes of incomplete requests, of requests that are handled
    and of responses that are not sent yet. `max_connections` limits the accepted
    connections. A new socket with a descriptor of `max_descriptor` or above shows that
    as many descriptors are open, as the lowest free number is assigned.
    """

    max_bytes: int = 67_108_864
    max_connections: int = 4_096
    max_descriptor: int = 1_048_576


class Phase(Enum):
    """What a connection does."""

    IDLE = "idle"
    RECEIVING = "receiving"
    HANDLING = "handling"
    SENDING = "sending"


# The phases of connections that may be closed, in the order in which they are closed
# when there are too many connections. A request that is handled is never closed: it
# may have run in part.
CLOSED_FOR_ROOM = (Phase.IDLE, Phase.RECEIVING, Phase.SENDING)
# A connection whose request began this long before the oldest idle one became idle is
# closed first. It is below the 3 s that a client has for a head, so that clients that
# send many unfinished heads lose these before others lose their idle connections.
RECEIVING_LEAD_S = 2.0
# The phases of connections that are closed when the budget is full.
CLOSED_FOR_BYTES = (Phase.RECEIVING, Phase.SENDING)


class Account:
    """What one connection holds; only RequestBudget changes it.

    `byte_seconds` is the sum of the held bytes over the time of the phase.
    """

    __slots__ = (
        "byte_seconds",
        "changed_s",
        "held_bytes",
        "is_closing",
        "number",
        "phase",
        "phase_since_s",
    )

    def __init__(self, number: int, now_s: float) -> None:
        self.number = number
        self.phase = Phase.IDLE
        self.phase_since_s = now_s
        self.held_bytes = 0
        self.byte_seconds = 0.0
        self.changed_s = now_s
        # Whether the account was chosen to be closed. Its bytes no longer count.
        self.is_closing = False


class RequestBudget:
    """Accounts for the connections of a process; decides, but closes nothing itself."""

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._used_bytes = 0
        self._handled_bytes = 0
        self._next_number = 0
        # In each phase, the accounts in the order in which they entered it.
        self._phases: dict[Phase, dict[int, Account]] = {each: {} for each in Phase}

    @property
    def limits(self) -> BudgetLimits:
        """The limits."""
        return self._limits

    @property
    def used_bytes(self) -> int:
        """The bytes that all connections hold."""
        return self._used_bytes

    @property
    def is_full(self) -> bool:
        """Whether the connections hold more than the limit."""
        return self._used_bytes > self._limits.max_bytes

    @property
    def connections(self) -> int:
        """The number of connections that are not being closed."""
        return sum(map(len, self._phases.values()))

    def open(self, now_s: float) -> Account:
        """Add the account of a new connection, which is idle."""
        self._next_number += 1
        account = Account(self._next_number, now_s)
        self._phases[Phase.IDLE][account.number] = account
        return account

    def close(self, account: Account) -> None:
        """Remove the account of a connection that ends."""
        if not account.is_closing:
            self._remove(account)

    def await_request(self, account: Account, now_s: float) -> None:
        """Record that a connection waits for its next request."""
        self._enter(account, Phase.IDLE, 0, now_s)

    def begin_receiving(self, account: Account, now_s: float) -> None:
        """Record that the first bytes of a request have arrived."""
        self._enter(account, Phase.RECEIVING, 0, now_s)

    def begin_handling(self, account: Account, held_bytes: int, now_s: float) -> bool:
        """Record that a request is handled, which holds `held_bytes` until it ends.

        Return False, and record nothing, if the connection is being closed, or if the
        requests that are handled already leave no room. A single request always has
        room, and a small one has more than a large one.
        """
        handled = self._handled_bytes
        max_bytes: float = self._limits.max_bytes
        if held_bytes > SMALL_REQUEST_BYTES:
            max_bytes *= LARGE_REQUESTS_FRACTION
        if account.is_closing or (handled and handled + held_bytes > max_bytes):
            return False
        self._enter(account, Phase.HANDLING, held_bytes, now_s)
        return True

    def begin_sending(self, account: Account, held_bytes: int, now_s: float) -> None:
        """Record that a response of `held_bytes` is sent."""
        self._enter(account, Phase.SENDING, held_bytes, now_s)

    def hold(self, account: Account, held_bytes: int, now_s: float) -> None:
        """Record the bytes that a connection holds from now on."""
        if account.is_closing:
            return
        added_bytes = held_bytes - account.held_bytes
        elapsed_s = now_s - account.changed_s
        account.byte_seconds += account.held_bytes * elapsed_s
        account.changed_s = now_s
        account.held_bytes = held_bytes
        self._used_bytes += added_bytes
        if account.phase is Phase.HANDLING:
            self._handled_bytes += added_bytes

    def choose_for_bytes(self, now_s: float) -> list[Account]:
        """Choose connections to close while the budget is full.

        Those that have held the most for the longest are the first. A connection that
        is the only one to hold bytes is not chosen: a single request within the limits
        of a listener is served on any host.
        """
        if not self.is_full:
            return []
        holders = [
            account
            for phase in CLOSED_FOR_BYTES
            for account in self._phases[phase].values()
            if account.held_bytes
        ]
        holders.sort(key=lambda each: _closing_order(each, now_s))
        keeps_last = not self._handled_bytes
        target_bytes = self._limits.max_bytes * REDUCED_FRACTION
        chosen = []
        while self._used_bytes > target_bytes and len(holders) > keeps_last:
            chosen.append(self._choose(holders.pop()))
        return chosen

    def choose_for_room(self, descriptor: int) -> Account | None:
        """Choose a connection to close for a new one with this descriptor.

        None if there is room, or if all requests are handled; `has_room` tells these
        apart.
        """
        return None if self.has_room(descriptor) else self._choose_idlest()

    def choose_for_descriptor(self, descriptor: int) -> Account | None:
        """Choose a connection to close if few descriptors are left.

        `descriptor` belongs to a connection that this process has opened itself.
        """
        if descriptor < self._limits.max_descriptor:
            return None
        return self._choose_idlest()

    def has_room(self, descriptor: int) -> bool:
        """Return whether a connection with this descriptor is within the limits."""
        return (
            descriptor < self._limits.max_descriptor
            and self.connections < self._limits.max_connections
        )

    def iterate(self) -> Iterator[Account]:
        """Iterate over the accounts that are not being closed."""
        for accounts in self._phases.values():
            yield from accounts.values()

    def _enter(
        self, account: Account, phase: Phase, held_bytes: int, now_s: float
    ) -> None:
        if account.is_closing:
            return
        self._remove(account)
        account.phase = phase
        account.phase_since_s = account.changed_s = now_s
        account.byte_seconds = 0.0
        self._phases[phase][account.number] = account
        self.hold(account, held_bytes, now_s)

    def _choose_idlest(self) -> Account | None:
        """Choose the connection that is idle for the longest.

        Without idle ones, or if they are idle only for a short time, it is the one that
        has received its request for the longest.
        """
        idle = next(iter(self._phases[Phase.IDLE].values()), None)
        receiving = next(iter(self._phases[Phase.RECEIVING].values()), None)
        if idle and receiving:
            lead_s = idle.phase_since_s - receiving.phase_since_s
            return self._choose(receiving if lead_s > RECEIVING_LEAD_S else idle)
        for phase in CLOSED_FOR_ROOM:
            for account in self._phases[phase].values():
                return self._choose(account)
        return None

    def _choose(self, account: Account) -> Account:
        held_bytes = account.held_bytes
        self._remove(account)
        account.held_bytes = held_bytes
        account.is_closing = True
        return account

    def _remove(self, account: Account) -> None:
        self._used_bytes -= account.held_bytes
        if account.phase is Phase.HANDLING:
            self._handled_bytes -= account.held_bytes
        account.held_bytes = 0
        del self._phases[account.phase][account.number]


def _closing_order(account: Account, now_s: float) -> tuple[float, int]:
    """Return the sort key of an account: its byte-seconds, then its held bytes."""
    elapsed_s = now_s - account.changed_s
    return account.byte_seconds + account.held_bytes * elapsed_s, account.held_bytes
