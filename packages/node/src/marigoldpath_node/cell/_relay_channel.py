"""A leader's channel to one relay: sends commands in batches and takes the replies."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

from ._clock import now_s
from ._peers import PeerClient, PeerError
from ._relay_codec import (
    KINDS,
    Command,
    CommandKind,
    RelayReply,
    RelayStatus,
    decode_reply,
    encode_commands,
)
from ._settings import CellSettings

# Replies also come with the reply to each batch of commands. So a call for replies
# alone is made only after this number of intervals without a batch.
TAKE_INTERVALS = 1.5


class RelayTarget(NamedTuple):
    """The relay of a channel, and the term of leadership whose commands it sends."""

    address: str
    epoch: int
    session: str


class _PendingCall:
    __slots__ = ("deadline_s", "finished", "is_sent", "kind", "reply")

    def __init__(self, kind: CommandKind, deadline_s: float) -> None:
        self.kind = kind
        self.deadline_s = deadline_s
        self.is_sent = False
        self.reply = RelayReply(RelayStatus.NOT_SENT)
        self.finished = curio.Event()


class RelayChannel:
    """Commands and replies of one relay.

    It fails with the first call of the relay that fails, and with the first command
    that has no reply in time. All its commands are then finished: as NOT_SENT if they
    were not sent, and as LOST otherwise.
    """

    def __init__(
        self, settings: CellSettings, peers: PeerClient, log: Any, target: RelayTarget
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._log = log
        self._target = target
        self._interval_s = settings.min_relay_interval_s
        self._last_number = 0
        self._outbox: list[tuple[int, Command]] = []
        self._pending: dict[int, _PendingCall] = {}
        self._has_commands = curio.Event()
        self._has_failed = curio.Event()
        self._is_open = False
        # When replies were last received from the relay.
        self._exchanged_s = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether the relay has replied, and no call has failed since."""
        return self._is_open and not self._has_failed.is_set()

    @property
    def address(self) -> str:
        """The relay's address."""
        return self._target.address

    def set_interval(self, interval_s: float) -> None:
        """Set the shortest time between two batches in each direction."""
        self._interval_s = interval_s

    async def run(self) -> None:
        """Send commands and take replies until the channel fails."""
        async with curio.TaskGroup(wait=None) as tasks:
            for loop in (self._send_loop, self._take_loop):
                await tasks.spawn(self._run_loop, loop)
            await self._has_failed.wait()

    async def _run_loop(self, loop: Callable[[], Awaitable[None]]) -> None:
        try:
            await loop()
        except (PeerError, ValueError, KeyError, TypeError) as error:
            if not self._has_failed.is_set():
                self._log.info(
                    "relay_failed", address=self._target.address, reason=repr(error)
                )
            await self.close()

    async def close(self) -> None:
        """Finish all commands; no further ones are sent."""
        await self._has_failed.set()
        for number in list(self._pending):
            call = self._pending[number]
            status = RelayStatus.LOST if call.is_sent else RelayStatus.NOT_SENT
            await self._finish(number, RelayReply(status, reason="the relay failed"))
        self._outbox.clear()

    async def call(self, command: Command, timeout_s: float) -> RelayReply:
        """Send a command through the relay and return the outcome."""
        if not self.is_usable:
            return RelayReply(RelayStatus.NOT_SENT, reason="the relay is not usable")
        self._last_number += 1
        number = self._last_number
        call = _PendingCall(KINDS[type(command)], now_s() + timeout_s)
        self._pending[number] = call
        self._outbox.append((number, command))
        await self._has_commands.set()
        await call.finished.wait()
        return call.reply

    async def _send_loop(self) -> None:
        # An empty message measures how fast messages reach the relay, before a command
        # depends on it.
        await self._send([])
        self._is_open = True
        while True:
            await self._has_commands.wait()
            self._has_commands.clear()
            commands, self._outbox = self._outbox, []
            await self._send(commands)
            await curio.sleep(self._interval_s)

    async def _send(self, commands: list[tuple[int, Command]]) -> None:
        for number, _ in commands:
            self._pending[number].is_sent = True
        data = {
            "session": self._target.session,
            "epoch": self._target.epoch,
            "sent_s": now_s(),
            **encode_commands(commands),
        }
        accepted, replies = await self._peers.relay_commands(self._target.address, data)
        self._exchanged_s = now_s()
        await self._apply_replies(replies)
        if accepted:
            return
        # The relay has not sent these commands, because they reached it too late.
        for number, _ in commands:
            await self._finish(number, RelayReply(RelayStatus.NOT_SENT))

    async def _take_loop(self) -> None:
        while True:
            await self._wait_for_exchange()
            replies = await self._peers.take_relayed_replies(
                self._target.address,
                self._target.session,
                self._settings.max_relay_wait_s,
            )
            self._exchanged_s = now_s()
            await self._apply_replies(replies)

    async def _wait_for_exchange(self) -> None:
        """Wait until no replies have come with the last commands for a while.

        Raises PeerError if a command has no reply in time.
        """
        while True:
            self._check_deadlines()
            due_s = self._exchanged_s + TAKE_INTERVALS * self._interval_s
            if now_s() >= due_s:
                return
            await curio.sleep(due_s - now_s())

    def _check_deadlines(self) -> None:
        time_s = now_s()
        overdue = sum(1 for call in self._pending.values() if call.deadline_s < time_s)
        if overdue:
            raise PeerError(f"{overdue} commands without a reply")

    async def _apply_replies(self, replies: list[list[Any]]) -> None:
        for number, age_ms, encoded in replies:
            await self._apply_reply(number, age_ms, encoded)

    async def _apply_reply(self, number: int, age_ms: float, encoded: Any) -> None:
        call = self._pending.get(number)
        if call is None:
            return
        reply = decode_reply(call.kind, encoded)
        if age_ms > 1_000 * self._settings.max_relay_delay_s:
            # An old report would prove a majority that may follow another leader now.
            reply = RelayReply(RelayStatus.LOST, reason=f"{age_ms} ms old")
        await self._finish(number, reply)

    async def _finish(self, number: int, reply: RelayReply) -> None:
        call = self._pending.pop(number, None)
        if call is not None:
            call.reply = reply
            await call.finished.set()
