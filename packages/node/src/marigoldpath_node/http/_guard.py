"""Applies the limits that all listeners of a process share."""

import time
from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from marigoldpath_core.request_budget import (
    Account,
    BudgetLimits,
    CloseReason,
    RequestBudget,
)


class ClosedConnection(NamedTuple):
    """A connection that was closed, or whose request was refused, at a limit."""

    reason: CloseReason
    address: str
    held_bytes: int
    phase: str
    age_s: float

    def log_fields(self) -> dict[str, Any]:
        """Return the fields of the log line about the connection."""
        return {
            **self._asdict(),
            "reason": self.reason.value,
            "age_s": round(self.age_s, 3),
        }


class _Entry(NamedTuple):
    task: curio.Task
    release: Callable[[], None]


class ParseQueue:
    """Runs the slices of expensive requests one after the other.

    A request is expensive if it arrives in very many parts. As long as others wait, the
    queue pauses after a slice for as long as the slice took. So such requests use at
    most half of the time of the process, and one turn of its loop has at most one
    slice.
    """

    def __init__(self) -> None:
        self._semaphore = curio.Semaphore(1)
        self._users = 0

    async def run(self, parse: Callable[[], Any]) -> Any:
        """Return the result of `parse` once it is its turn."""
        self._users += 1
        try:
            async with self._semaphore:
                began_s = time.monotonic()
                try:
                    return parse()
                finally:
                    took_s = time.monotonic() - began_s
                    await curio.sleep(took_s if self._users > 1 else 0)
        finally:
            self._users -= 1


class ConnectionGuard:
    """The budget of a process, and the tasks of the connections to close.

    `on_close` is called for each connection that is closed at a limit.
    """

    def __init__(
        self,
        limits: BudgetLimits | None = None,
        on_close: Callable[[ClosedConnection], None] | None = None,
    ) -> None:
        self.budget = RequestBudget(limits or BudgetLimits())
        self.parse_queue = ParseQueue()
        self._on_close = on_close
        self._entries: dict[int, _Entry] = {}
        self._reasons: dict[int, CloseReason] = {}

    def register(
        self, account: Account, task: curio.Task, release: Callable[[], None]
    ) -> None:
        """Record the task that serves a connection.

        `release` drops what the connection has received.
        """
        self._entries[account.number] = _Entry(task, release)

    def remove(self, account: Account) -> None:
        """Remove a connection that has ended."""
        self.budget.close(account)
        self._entries.pop(account.number, None)
        self._reasons.pop(account.number, None)

    def reason(self, account: Account) -> CloseReason:
        """Return why a connection was chosen to be closed."""
        return self._reasons[account.number]

    def report(self, account: Account, reason: CloseReason, address: str) -> None:
        """Report that a connection is closed, or its request refused, at a limit."""
        if self._on_close is not None:
            age_s = time.monotonic() - account.phase_since_s
            self._on_close(
                ClosedConnection(
                    reason, address, account.held_bytes, account.phase.value, age_s
                )
            )

    async def make_room(self, descriptor: int) -> bool:
        """Close a connection if a new one needs its place.

        Return whether there is room for the new one.
        """
        chosen = self.budget.choose_for_room(descriptor)
        if chosen is not None:
            await self._end(chosen, CloseReason.TOO_MANY_CONNECTIONS)
            return True
        return self.budget.has_room(descriptor)

    async def keep_descriptors(self, descriptor: int) -> None:
        """Close a connection if one that this process has opened leaves too few."""
        chosen = self.budget.choose_for_descriptor(descriptor)
        if chosen is not None:
            await self._end(chosen, CloseReason.TOO_MANY_CONNECTIONS)

    async def enforce_budget(self) -> None:
        """Close connections while the budget is full."""
        for account in self.budget.choose_for_bytes(time.monotonic()):
            await self._end(account, CloseReason.BUDGET_FULL)

    async def _end(self, account: Account, reason: CloseReason) -> None:
        self._reasons[account.number] = reason
        task, release = self._entries[account.number]
        # The task runs again only after all other connections that are ready. Without
        # this, each of them could read a part first, and the budget would be exceeded
        # by the bytes of all that are being closed.
        release()
        if task is not await curio.current_task():
            await task.cancel(blocking=False)
