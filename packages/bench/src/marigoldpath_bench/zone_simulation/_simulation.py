"""One availability zone, driven by messages on one clock."""

import heapq
from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_bench.oracle import Verdict, judge
from marigoldpath_bench.platform import Store
from marigoldpath_bench.worker import WorkerStateMachine, encode_record
from marigoldpath_core.configuration import WorkKind
from marigoldpath_core.messages import (
    Effect,
    EntryHost,
    Event,
    EventsPolled,
    HostsListed,
    HostState,
    Log,
    SendOutcome,
    TaskTerminated,
    TaskUsage,
    Tick,
    UsageReported,
    WorkerHost,
)
from marigoldpath_core.requests import Outcome, Size
from marigoldpath_core.scheduler import ZoneScheduler
from marigoldpath_core.settings import DaemonSettings

from ._effects import failures, table_effects, worker_effects
from ._faults import TABLE, MessageFaults

REPLY_TIMEOUT_MS = 1_000
POLL_MS = 200
HOSTS_MS = 1_000
START_MS = 1_000_000
ZONE = "zadar"
CAPACITY = Size(64_000, 256_000, 2, 8, 64)
KINDS = (
    WorkKind("alignment_check", priority=0, weight=4, floor=0.2),
    WorkKind("cord_path_plan", priority=2),
    WorkKind("tension_watch", priority=1, standing=True, placement="spread"),
)


class ZoneSimulationSettings(NamedTuple):
    """The size of a world."""

    hosts: tuple[str, ...] = ("a", "b")
    workers: int = 4
    capacity: Size = CAPACITY
    kinds: tuple[WorkKind, ...] = KINDS
    zone: str = ZONE
    region: str = "jadran"
    start_ms: int = START_MS


class _Message(NamedTuple):
    """A message on its way."""

    at_ms: int
    number: int
    deliver: Callable[[], None]


class _Host:
    def __init__(self, scheduler: ZoneScheduler) -> None:
        self.scheduler = scheduler
        self.is_paused = False
        self.is_dead = False
        self.inbox: list[Event] = []
        self.leaving: list[Effect] = []
        self.unsent: list[Effect] = []
        self.wake_ms = 0
        self.polling: set[str] = set()
        self.polled: dict[str, tuple[str, int]] = {}


class ZoneSimulation:
    """Hosts, workers and the table of a zone, with faults.

    A paused host keeps what it was about to send and sends it when it wakes, however
    late that is: the case of a process stopped between its check and its send.
    """

    def __init__(self, settings: ZoneSimulationSettings, faults: MessageFaults) -> None:
        self._settings = settings
        self.faults = faults
        self.now_ms = settings.start_ms
        self.store = Store()
        self.logs: list[tuple[int, str, Log]] = []
        self.outcomes: list[tuple[str, int, Outcome]] = []
        self.leaving: set[str] = set()
        self.gone: set[str] = set()
        self.workers = {
            f"w{number}": WorkerStateMachine(f"w{number}", settings.capacity, "1")
            for number in range(1, settings.workers + 1)
        }
        for machine in self.workers.values():
            machine.boot(self.now_ms, "1")
        self._hosts: dict[str, _Host] = {}
        self._messages: list[_Message] = []
        self._number = 0
        self._next_poll_ms = 0
        self._next_list_ms = 0
        self._incarnations = 1
        self._records: list[dict[str, Any]] = []
        for name in settings.hosts:
            self.add_host(name)

    @property
    def zone(self) -> str:
        """The availability zone."""
        return self._settings.zone

    @property
    def host_names(self) -> list[str]:
        """The hosts that have not been killed."""
        return [name for name, host in self._hosts.items() if not host.is_dead]

    @property
    def serving(self) -> list[str]:
        """The running hosts that take themselves for the zone's authority."""
        return [
            name
            for name, host in self._hosts.items()
            if not host.is_dead
            and not host.is_paused
            and host.scheduler.is_serving(self.now_ms)
        ]

    def scheduler(self, name: str) -> ZoneScheduler:
        """Return the core of a host."""
        return self._hosts[name].scheduler

    def add_host(self, name: str) -> None:
        """Start a host, or start it anew after a kill."""
        settings = DaemonSettings(
            host=name,
            region=self._settings.region,
            availability_zone=self.zone,
            availability_zones=(self.zone,),
            platform_address="127.0.0.1:1",
            kinds=self._settings.kinds,
        )
        self._incarnations += 1
        scheduler = ZoneScheduler(settings, f"{name}-{self._incarnations}")
        self._hosts[name] = _Host(scheduler)
        self.deliver(name, self._listed())

    def kill(self, name: str) -> None:
        """End a host with all that it has not sent."""
        self._hosts[name].is_dead = True

    def pause(self, name: str) -> None:
        """Stop a host; what it has not got out yet leaves when it wakes."""
        self._hosts[name].is_paused = True

    def resume(self, name: str) -> None:
        """Let a paused host go on: its unsent messages first, then its inbox."""
        host = self._hosts[name]
        host.is_paused = False
        unsent, host.unsent = host.unsent, []
        for effect in unsent:
            self._send(name, effect)
        inbox, host.inbox = host.inbox, []
        for event in inbox:
            self.deliver(name, event)

    def restart_worker(self, name: str) -> None:
        """Restart a worker: its tasks and answers are gone."""
        machine = self.workers[name]
        machine.boot(self.now_ms, str(int(machine.incarnation) + 1))

    def deliver(self, name: str, event: Event) -> None:
        """Give a host an event now."""
        host = self._hosts[name]
        if host.is_dead:
            return
        if host.is_paused:
            host.inbox.append(event)
            return
        times = 2 if self.faults.doubles_event() else 1
        for _ in range(times):
            for effect in host.scheduler.handle(event, self.now_ms):
                self.perform(name, effect)

    def perform(self, name: str, effect: Effect) -> None:
        """Carry out what a host asked for."""
        if isinstance(effect, Log):
            self.logs.append((self.now_ms, name, effect))
        elif isinstance(effect, SendOutcome):
            call = effect.origin.call
            self.outcomes.append((effect.origin.host, call, effect.outcome))
        else:
            # A message leaves its host some milliseconds later, so that a pause can
            # fall between the decision and the sending.
            self._hosts[name].leaving.append(effect)
            delay_ms = self.faults.send_delay_ms()
            self._later(delay_ms, lambda: self._leave(name, effect))

    def run(self, milliseconds: int, step_ms: int = 10) -> None:
        """Let time pass."""
        end_ms = self.now_ms + milliseconds
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            self._deliver_due()
            for name, host in self._hosts.items():
                if not host.is_dead and not host.is_paused:
                    self._tick(name, host)
            self._poll()
            self._list_hosts()

    def run_until(self, condition: Callable[[], bool], milliseconds: int) -> bool:
        """Let time pass until a condition holds; return whether it came to hold."""
        end_ms = self.now_ms + milliseconds
        while not condition() and self.now_ms < end_ms:
            self.run(10)
        return condition()

    def verdict(self) -> Verdict:
        """Return what the workers' own records show."""
        for machine in self.workers.values():
            machine.advance(self.now_ms)
            records = machine.take_records()
            self._records.extend(encode_record(record, 0) for record in records)
        return judge(self._records)

    def _tick(self, name: str, host: _Host) -> None:
        if self.now_ms >= host.wake_ms:
            self.deliver(name, Tick())
            host.wake_ms = host.scheduler.wake_ms(self.now_ms)

    def unsent_of(self, name: str) -> Callable[[], list[Effect]]:
        """Return a function that lists what a host has decided and not sent."""
        return lambda: self._hosts[name].leaving

    def _leave(self, name: str, effect: Effect) -> None:
        host = self._hosts[name]
        if effect in host.leaving:
            host.leaving.remove(effect)
        if host.is_dead:
            return
        if host.is_paused:
            host.unsent.append(effect)
        else:
            self._send(name, effect)

    def _send(self, name: str, effect: Effect) -> None:
        target = getattr(effect, "worker", TABLE)
        if self.faults.loses_request(name, target):
            self._fail(name, effect)
            return
        delay_ms = self.faults.delay_ms()
        self._later(delay_ms, lambda: self._arrive(name, target, effect))

    def _arrive(self, name: str, target: str, effect: Effect) -> None:
        if target == TABLE:
            reply = table_effects.get(type(effect))(self.store, effect)
        else:
            machine = self.workers[target]
            reply = worker_effects.get(type(effect))(machine, effect, self.now_ms)
        if reply is None:
            return
        if self.faults.loses_reply(name, target):
            self._fail(name, effect)
            return
        self._later(self.faults.delay_ms(), lambda: self.deliver(name, reply))

    def _fail(self, name: str, effect: Effect) -> None:
        failure = failures.get(type(effect))(effect)
        if failure is not None:
            self._later(REPLY_TIMEOUT_MS, lambda: self.deliver(name, failure))

    def _later(self, delay_ms: int, deliver: Callable[[], None]) -> None:
        self._number += 1
        message = _Message(self.now_ms + delay_ms, self._number, deliver)
        heapq.heappush(self._messages, message)

    def _deliver_due(self) -> None:
        while self._messages and self._messages[0].at_ms <= self.now_ms:
            heapq.heappop(self._messages).deliver()

    def _poll(self) -> None:
        if self.now_ms < self._next_poll_ms:
            return
        self._next_poll_ms = self.now_ms + POLL_MS
        for name, host in self._hosts.items():
            if host.is_dead or host.is_paused:
                continue
            for worker in sorted(host.scheduler.workers_to_poll):
                # As over a connection, the next poll waits for the last one's reply.
                if worker not in host.polling and not self.faults.is_cut(name, worker):
                    self._poll_worker(name, host, worker)

    def _poll_worker(self, name: str, host: _Host, worker: str) -> None:
        machine = self.workers[worker]
        incarnation, after = host.polled.get(worker, ("", 0))
        if incarnation != machine.incarnation:
            after = 0
        newest, events = machine.events(self.now_ms, after)
        if self.faults.loses_reply(name, worker):
            return
        host.polled[worker] = (machine.incarnation, newest)
        replies: list[Event] = [
            TaskTerminated(worker, event.task, event.status, event.answer)
            for event in events
        ]
        replies.append(EventsPolled(worker, self.now_ms, machine.incarnation))
        usages = tuple(
            TaskUsage(usage["task"], Size(**usage["size"]))
            for usage in machine.usage(self.now_ms)
        )
        replies.append(UsageReported(worker, usages))

        host.polling.add(worker)

        def arrive() -> None:
            host.polling.discard(worker)
            for reply in replies:
                self.deliver(name, reply)

        self._later(self.faults.delay_ms(), arrive)

    def _list_hosts(self) -> None:
        if self.now_ms < self._next_list_ms:
            return
        self._next_list_ms = self.now_ms + HOSTS_MS
        listed = self._listed()
        for name in self._hosts:
            if not self.faults.is_cut(name, TABLE):
                self.deliver(name, listed)

    def _listed(self) -> HostsListed:
        workers = tuple(
            WorkerHost(
                name,
                self.zone,
                f"rack{index // 2}",
                "",
                self._settings.capacity,
                HostState.LEAVING if name in self.leaving else HostState.LIVE,
            )
            for index, name in enumerate(self.workers)
            if name not in self.gone
        )
        entry_hosts = tuple(EntryHost(name, self.zone, "") for name in self.host_names)
        return HostsListed(workers, entry_hosts)
