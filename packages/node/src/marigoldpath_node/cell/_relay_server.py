"""Relays the commands of a leader on another host to workers."""

import math
from functools import partial
from typing import Any

import curio

from ._clock import now_s
from ._command_queue import CommandQueue
from ._ports import FencedError, WorkerClient, WorkerFailedError
from ._relay_codec import (
    KINDS,
    Command,
    PollCommand,
    RelayReply,
    RelayStatus,
    decode_commands,
    encode_reply,
    execute,
)
from ._settings import CellSettings

# The longest wait of a leader for replies is much shorter.
SESSION_TIMEOUT_S = 10.0
MAX_SESSIONS = 4


class TransitClock:
    """Estimates for how long messages of one sender were in transit.

    The clocks of two hosts differ by a constant. The message with the smallest
    difference was in transit for the shortest time.
    """

    def __init__(self) -> None:
        self._min_difference_s = math.inf

    def excess_s(self, sent_s: float, received_s: float) -> float:
        """Return how much longer this message was in transit than the fastest one."""
        difference_s = received_s - sent_s
        self._min_difference_s = min(self._min_difference_s, difference_s)
        return difference_s - self._min_difference_s


class RelaySession:
    """The commands of one leader in one term, and the replies that it has not taken."""

    def __init__(self) -> None:
        self.transit_clock = TransitClock()
        self.used_s = now_s()
        self._replies: list[tuple[int, float, list[Any]]] = []
        self._has_replies = curio.Event()

    async def add_reply(self, number: int, encoded: list[Any]) -> None:
        """Keep the encoded reply to a command until the leader takes it."""
        self._replies.append((number, now_s(), encoded))
        await self._has_replies.set()

    async def wait_for_replies(self) -> None:
        """Wait until there is a reply."""
        await self._has_replies.wait()

    def take_replies(self) -> list[list[Any]]:
        """Return the replies, each with its number and its age in milliseconds."""
        replies, self._replies = self._replies, []
        self._has_replies.clear()
        time_s = now_s()
        return [
            [number, round(1_000 * (time_s - received_s)), encoded]
            for number, received_s, encoded in replies
        ]


class RelayServer:
    """Sends the commands of leaders to workers and keeps the replies for them.

    The commands carry the leader's epoch, so workers refuse those of a leader that was
    replaced. A command that was delayed on its way is not sent: its worker may have
    restarted, and the new incarnation would refuse no epoch.
    """

    def __init__(self, settings: CellSettings, workers: WorkerClient, log: Any) -> None:
        self._settings = settings
        self._workers = workers
        self._log = log
        self._queue = CommandQueue(
            partial(curio.spawn, daemon=True),
            lambda _worker_id: settings.max_commands_per_worker,
        )
        self._sessions: dict[str, RelaySession] = {}

    async def accept_commands(self, data: dict[str, Any]) -> dict[str, Any]:
        """Start to execute the commands in a leader's message; do not wait for them.

        Return whether they are executed, and the replies to earlier ones. Raises
        ValueError, KeyError or TypeError if the message is invalid. No command of it is
        executed then.
        """
        commands = decode_commands(data)
        epoch = int(data["epoch"])
        sent_s = float(data["sent_s"])
        session = self._session(str(data["session"]))
        delay_s = session.transit_clock.excess_s(sent_s, now_s())
        if delay_s > self._settings.max_relay_delay_s:
            self._log.info(
                "relayed_commands_late",
                commands=len(commands),
                delay_ms=round(1_000 * delay_s),
            )
            return {"accepted": False, "replies": session.take_replies()}
        for number, command in commands:
            send = partial(self._execute, session, number, command, epoch)
            if isinstance(command, PollCommand):
                # A poll waits for terminations, so it must not delay commands.
                await curio.spawn(send, daemon=True)
            else:
                await self._queue.add(command.worker_id, send)
        return {"accepted": True, "replies": session.take_replies()}

    async def take_replies(self, data: dict[str, Any]) -> dict[str, Any]:
        """Return the replies for a leader, after a wait if there are none.

        Raises KeyError, TypeError or ValueError if the message is invalid.
        """
        session = self._session(str(data["session"]))
        wait_s = min(float(data["wait_s"]), self._settings.max_relay_wait_s)
        await curio.ignore_after(wait_s, session.wait_for_replies)
        return {"replies": session.take_replies()}

    def _session(self, name: str) -> RelaySession:
        session = self._sessions.pop(name, None) or RelaySession()
        session.used_s = now_s()
        # The sessions are in the order of their last use.
        self._sessions[name] = session
        oldest_s = session.used_s - SESSION_TIMEOUT_S
        for other in list(self._sessions):
            if (
                len(self._sessions) > MAX_SESSIONS
                or self._sessions[other].used_s < oldest_s
            ):
                del self._sessions[other]
        return session

    async def _execute(
        self, session: RelaySession, number: int, command: Command, epoch: int
    ) -> None:
        try:
            value = await execute(self._workers, command, epoch)
            reply = RelayReply(RelayStatus.DONE, value)
        except FencedError as error:
            reply = RelayReply(RelayStatus.FENCED, reason=str(error))
        except WorkerFailedError as error:
            reply = RelayReply(RelayStatus.WORKER_FAILED, reason=str(error))
        except Exception:
            # The leader treats the command as possibly executed.
            self._log.exception("relayed_command_failed", command=repr(command)[:200])
            reply = RelayReply(RelayStatus.LOST, reason="unexpected error")
        encoded = encode_reply(KINDS[type(command)], reply)
        await session.add_reply(number, encoded)
