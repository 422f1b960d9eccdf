"""Sends a leader's commands to workers, directly or through relays.

A leader that keeps up sends them itself. One that lags uses other entry hosts as
relays: it then exchanges a few batches with each of them instead of a request for each
command.
"""

import os
from typing import Any

import curio

from marigoldpath_core.fleet import (
    StartReplied,
    StartResult,
    StartRun,
    StopReplied,
    StopRun,
    ThrottleRun,
    WorkerPoll,
    WorkerReport,
    choose_relays,
    find_relay,
)

from ._clock import now_s
from ._followers import Followers
from ._peers import PeerClient
from ._ports import CellDependencies, FencedError, RelayFailedError
from ._relay_channel import RelayChannel, RelayTarget
from ._relay_codec import Command, PollCommand, RelayReply, RelayStatus
from ._settings import CellSettings


class RelayedWorkerClient:
    """A `WorkerClient` that uses relays once `activate` was called.

    A worker whose relay has failed is called directly until it has another one.
    """

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        followers: Followers,
        peers: PeerClient,
        epoch: int,
    ) -> None:
        self._settings = settings
        self._direct = dependencies.workers
        self._log = dependencies.log
        self._followers = followers
        self._peers = peers
        self._epoch = epoch
        self._session = os.urandom(8).hex()
        self._is_active = False
        self._relays: tuple[str, ...] = ()
        self._channels: dict[str, RelayChannel] = {}
        self._relay_by_worker: dict[str, str] = {}
        # Until when each worker that its relay did not reach is called directly.
        self._direct_until_s: dict[str, float] = {}

    @property
    def is_active(self) -> bool:
        """Whether commands are sent through relays."""
        return self._is_active

    def activate(self) -> None:
        """Send commands through relays from now on, until the term ends."""
        if not self._is_active:
            self._is_active = True
            self._log.info("relays_activated", epoch=self._epoch)

    async def run(self, count_workers: Any) -> None:
        """Keep a channel to each relay; `count_workers` returns the number of workers.

        The relays are chosen again at an interval, because followers come and go.
        """
        async with curio.TaskGroup(wait=object) as tasks:
            while True:
                if self._is_active:
                    await self._choose_relays(count_workers(), tasks)
                await curio.sleep(self._settings.relay_choice_interval_s)

    async def _choose_relays(self, workers: int, tasks: curio.TaskGroup) -> None:
        relays = choose_relays(
            self._followers.relay_candidates(), workers, self._settings.fleet
        )
        for address in [each for each in self._channels if each not in relays]:
            await self._channels.pop(address).close()
        interval_s = self._interval_s(len(relays))
        for address in relays:
            if address not in self._channels:
                target = RelayTarget(address, self._epoch, self._session)
                channel = RelayChannel(self._settings, self._peers, self._log, target)
                self._channels[address] = channel
                await tasks.spawn(self._run_channel, channel, daemon=True)
            self._channels[address].set_interval(interval_s)
        if relays != self._relays:
            self._relays = relays
            self._relay_by_worker.clear()
            self._log.info("relays_chosen", relays=relays, workers=workers)

    def _interval_s(self, relays: int) -> float:
        """Return the interval that limits the calls of all channels together."""
        settings = self._settings
        interval_s = 2 * relays / (settings.max_relay_call_rate * settings.cores)
        return min(
            max(interval_s, settings.min_relay_interval_s),
            settings.max_relay_interval_s,
        )

    async def _run_channel(self, channel: RelayChannel) -> None:
        await channel.run()
        if self._channels.get(channel.address) is channel:
            del self._channels[channel.address]
            self._followers.remove(channel.address)

    def _channel(self, worker_id: str) -> RelayChannel | None:
        """Return the usable channel for a worker, or None."""
        if not self._channels:
            return None
        if worker_id in self._direct_until_s:
            if now_s() < self._direct_until_s[worker_id]:
                return None
            del self._direct_until_s[worker_id]
        address = self._relay_by_worker.get(worker_id)
        if address is None:
            address = find_relay(worker_id, self._relays)
            self._relay_by_worker[worker_id] = address
        channel = self._channels.get(address)
        return channel if channel is not None and channel.is_usable else None

    async def _call(
        self, channel: RelayChannel, command: Command, wait_ms: int = 0
    ) -> RelayReply:
        timeout_s = wait_ms / 1_000 + self._settings.relay_timeout_s
        reply = await channel.call(command, timeout_s)
        if reply.status is RelayStatus.WORKER_FAILED:
            # The relay can be partitioned from a worker that this host reaches.
            self._call_directly(command.worker_id)
        return reply

    def _call_directly(self, worker_id: str) -> None:
        self._direct_until_s[worker_id] = now_s() + self._settings.relay_bypass_s

    def max_commands_in_flight(self, worker_id: str) -> int:
        """Return how many commands to a worker may wait for a reply.

        A relay sends a few of them at a time, and takes them in batches.
        """
        if self._channel(worker_id) is None:
            return self._settings.max_commands_per_worker
        return self._settings.max_relayed_commands

    async def poll(self, worker_id: str, epoch: int, poll: WorkerPoll) -> WorkerReport:
        """Poll a worker and return its report.

        Raises WorkerFailedError or FencedError, and RelayFailedError if the relay has
        failed or did not reach the worker: the next poll is sent directly.
        """
        channel = self._channel(worker_id)
        if channel is None:
            return await self._direct.poll(worker_id, epoch, poll)
        reply = await self._call(channel, PollCommand(worker_id, poll), poll.wait_ms)
        return _value(reply)

    async def start(self, command: StartRun, epoch: int) -> StartReplied:
        """Send a command to start a run, and return its result."""
        channel = self._channel(command.worker_id)
        if channel is None:
            return await self._direct.start(command, epoch)
        reply = await self._call(channel, command)
        if reply.status is RelayStatus.DONE:
            if reply.value.result is StartResult.NOT_SENT:
                self._call_directly(command.worker_id)
            return reply.value
        # A start that has not been sent is settled by the next report, too. The worker
        # is not the cause, so it must not count as unreachable.
        return StartReplied(
            command.worker_id, command.task, command.run, StartResult.UNKNOWN
        )

    async def stop(self, command: StopRun, epoch: int) -> StopReplied:
        """Send a command to stop a run.

        Raises WorkerFailedError or FencedError.
        """
        channel = self._channel(command.worker_id)
        if channel is None:
            return await self._direct.stop(command, epoch)
        return _value(await self._call(channel, command))

    async def throttle(self, command: ThrottleRun, epoch: int) -> None:
        """Send a command to throttle a run.

        Raises WorkerFailedError or FencedError.
        """
        channel = self._channel(command.worker_id)
        if channel is None:
            await self._direct.throttle(command, epoch)
        else:
            _value(await self._call(channel, command))


def _value(reply: RelayReply) -> Any:
    if reply.status is RelayStatus.DONE:
        return reply.value
    if reply.status is RelayStatus.FENCED:
        raise FencedError(reply.reason)
    raise RelayFailedError(reply.reason)
