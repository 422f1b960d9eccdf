"""The simulation of one availability zone: a queue of messages on one clock."""

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

from ._effects import failure_events, table_handlers, worker_handlers
from ._faults import TABLE, MessageFaults

REPLY_TIMEOUT_MS = 1_000
POLL_INTERVAL_MS = 200
HOST_LIST_INTERVAL_MS = 1_000
START_TIME_MS = 1_000_000
ZONE = "zadar"
CAPACITY = Size(64_000, 256_000, 2, 8, 64)
KINDS = (
    WorkKind("alignment_check", priority=0, weight=4, floor=0.2),
    WorkKind("cord_path_plan", priority=2),
    WorkKind("tension_watch", priority=1, standing=True, placement="spread"),
)


class ZoneSimulationSettings(NamedTuple):
    """The hosts, the workers and the kinds of work of a simulated zone."""

    hosts: tuple[str, ...] = ("a", "b")
    workers: int = 4
    capacity: Size = CAPACITY
    kinds: tuple[WorkKind, ...] = KINDS
    zone: str = ZONE
    region: str = "jadran"
    start_ms: int = START_TIME_MS


class _Message(NamedTuple):
    """A message in transit; `sequence` orders messages that are due together."""

    at_ms: int
    sequence: int
    deliver: Callable[[], None]


class _Host:
    """A host's scheduler, its messages and its polls of workers.

    `pending_sends` holds the effects that are decided and not yet sent, and
    `sends_on_resume` those that became due during a pause. `poll_positions` holds the
    incarnation and the last event number of each polled worker.
    """

    def __init__(self, scheduler: ZoneScheduler) -> None:
        self.scheduler = scheduler
        self.is_paused = False
        self.is_killed = False
        self.inbox: list[Event] = []
        self.pending_sends: list[Effect] = []
        self.sends_on_resume: list[Effect] = []
        self.wake_ms = 0
        self.workers_in_poll: set[str] = set()
        self.poll_positions: dict[str, tuple[str, int]] = {}


class ZoneSimulation:
    """Simulate the hosts, the workers and the table of a zone, with faults.

    A paused host keeps the messages that it has decided to send and sends them when it
    resumes, however late: this is a process stopped between its check and its send.
    """

    def __init__(self, settings: ZoneSimulationSettings, faults: MessageFaults) -> None:
        self._settings = settings
        self.faults = faults
        self.now_ms = settings.start_ms
        self.store = Store()
        self.logs: list[tuple[int, str, Log]] = []
        self.outcomes: list[tuple[str, int, Outcome]] = []
        self.draining_workers: set[str] = set()
        self.unlisted_workers: set[str] = set()
        self.workers = {
            f"w{number}": WorkerStateMachine(f"w{number}", settings.capacity, "1")
            for number in range(1, settings.workers + 1)
        }
        for state_machine in self.workers.values():
            state_machine.boot(self.now_ms, "1")
        self._hosts: dict[str, _Host] = {}
        self._messages: list[_Message] = []
        self._message_count = 0
        self._next_poll_ms = 0
        self._next_host_list_ms = 0
        self._incarnation_count = 1
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
        return [name for name, host in self._hosts.items() if not host.is_killed]

    @property
    def serving(self) -> list[str]:
        """The running hosts whose scheduler considers itself the zone's leader."""
        return [
            name
            for name, host in self._hosts.items()
            if not host.is_killed
            and not host.is_paused
            and host.scheduler.is_serving(self.now_ms)
        ]

    def scheduler(self, name: str) -> ZoneScheduler:
        """Return the scheduler of a host."""
        return self._hosts[name].scheduler

    def add_host(self, name: str) -> None:
        """Start a host, or restart it after a kill."""
        settings = DaemonSettings(
            host=name,
            region=self._settings.region,
            availability_zone=self.zone,
            availability_zones=(self.zone,),
            platform_address="127.0.0.1:1",
            kinds=self._settings.kinds,
        )
        self._incarnation_count += 1
        scheduler = ZoneScheduler(settings, f"{name}-{self._incarnation_count}")
        self._hosts[name] = _Host(scheduler)
        self.deliver(name, self._host_list())

    def kill(self, name: str) -> None:
        """Kill a host; the messages that it has not sent are lost."""
        self._hosts[name].is_killed = True

    def pause(self, name: str) -> None:
        """Pause a host; it sends its unsent messages when it resumes."""
        self._hosts[name].is_paused = True

    def resume(self, name: str) -> None:
        """Resume a host: send its unsent messages, then deliver its inbox."""
        host = self._hosts[name]
        host.is_paused = False
        unsent, host.sends_on_resume = host.sends_on_resume, []
        for effect in unsent:
            self._send(name, effect)
        inbox, host.inbox = host.inbox, []
        for event in inbox:
            self.deliver(name, event)

    def restart_worker(self, name: str) -> None:
        """Restart a worker, which loses its tasks and answers."""
        state_machine = self.workers[name]
        state_machine.boot(self.now_ms, str(int(state_machine.incarnation) + 1))

    def deliver(self, name: str, event: Event) -> None:
        """Deliver an event to a host now, or on its resumption if it is paused."""
        host = self._hosts[name]
        if host.is_killed:
            return
        if host.is_paused:
            host.inbox.append(event)
            return
        times = 2 if self.faults.duplicates_event() else 1
        for _ in range(times):
            for effect in host.scheduler.handle(event, self.now_ms):
                self.perform(name, effect)

    def perform(self, name: str, effect: Effect) -> None:
        """Record a log entry or an outcome, or schedule the sending of a message."""
        if isinstance(effect, Log):
            self.logs.append((self.now_ms, name, effect))
        elif isinstance(effect, SendOutcome):
            call = effect.origin.call
            self.outcomes.append((effect.origin.host, call, effect.outcome))
        else:
            # Sending is delayed by some milliseconds so that a pause can fall between
            # the decision and the sending.
            self._hosts[name].pending_sends.append(effect)
            delay_ms = self.faults.send_delay_ms()
            self._schedule(delay_ms, lambda: self._send_unless_stopped(name, effect))

    def run(self, milliseconds: int, step_ms: int = 10) -> None:
        """Advance the clock in steps and process what is due at each step."""
        end_ms = self.now_ms + milliseconds
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            self._deliver_due()
            for name, host in self._hosts.items():
                if not host.is_killed and not host.is_paused:
                    self._tick(name, host)
            self._poll()
            self._send_host_list()

    def run_until(self, condition: Callable[[], bool], milliseconds: int) -> bool:
        """Run until a condition holds or the time is over; return the condition."""
        end_ms = self.now_ms + milliseconds
        while not condition() and self.now_ms < end_ms:
            self.run(10)
        return condition()

    def verdict(self) -> Verdict:
        """Return the oracle's verdict on the workers' records."""
        for state_machine in self.workers.values():
            state_machine.advance(self.now_ms)
            records = state_machine.take_records()
            self._records.extend(encode_record(record, 0) for record in records)
        return judge(self._records)

    def _tick(self, name: str, host: _Host) -> None:
        if self.now_ms >= host.wake_ms:
            self.deliver(name, Tick())
            host.wake_ms = host.scheduler.wake_ms(self.now_ms)

    def unsent_effects_of(self, name: str) -> Callable[[], list[Effect]]:
        """Return a function that returns a host's decided but unsent effects."""
        return lambda: self._hosts[name].pending_sends

    def _send_unless_stopped(self, name: str, effect: Effect) -> None:
        host = self._hosts[name]
        if effect in host.pending_sends:
            host.pending_sends.remove(effect)
        if host.is_killed:
            return
        if host.is_paused:
            host.sends_on_resume.append(effect)
        else:
            self._send(name, effect)

    def _send(self, name: str, effect: Effect) -> None:
        target = getattr(effect, "worker", TABLE)
        if self.faults.drops_request(name, target):
            self._report_failure(name, effect)
            return
        delay_ms = self.faults.delay_ms()
        self._schedule(delay_ms, lambda: self._execute(name, target, effect))

    def _execute(self, name: str, target: str, effect: Effect) -> None:
        if target == TABLE:
            reply = table_handlers.get(type(effect))(self.store, effect)
        else:
            state_machine = self.workers[target]
            reply = worker_handlers.get(type(effect))(
                state_machine, effect, self.now_ms
            )
        if reply is None:
            return
        if self.faults.drops_reply(name, target):
            self._report_failure(name, effect)
            return
        self._schedule(self.faults.delay_ms(), lambda: self.deliver(name, reply))

    def _report_failure(self, name: str, effect: Effect) -> None:
        failure = failure_events.get(type(effect))(effect)
        if failure is not None:
            self._schedule(REPLY_TIMEOUT_MS, lambda: self.deliver(name, failure))

    def _schedule(self, delay_ms: int, deliver: Callable[[], None]) -> None:
        self._message_count += 1
        message = _Message(self.now_ms + delay_ms, self._message_count, deliver)
        heapq.heappush(self._messages, message)

    def _deliver_due(self) -> None:
        while self._messages and self._messages[0].at_ms <= self.now_ms:
            heapq.heappop(self._messages).deliver()

    def _poll(self) -> None:
        if self.now_ms < self._next_poll_ms:
            return
        self._next_poll_ms = self.now_ms + POLL_INTERVAL_MS
        for name, host in self._hosts.items():
            if host.is_killed or host.is_paused:
                continue
            for worker in sorted(host.scheduler.workers_to_poll):
                # As on a real connection, a poll waits for the previous reply.
                if (
                    worker not in host.workers_in_poll
                    and not self.faults.is_partitioned(name, worker)
                ):
                    self._poll_worker(name, host, worker)

    def _poll_worker(self, name: str, host: _Host, worker: str) -> None:
        state_machine = self.workers[worker]
        incarnation, after = host.poll_positions.get(worker, ("", 0))
        if incarnation != state_machine.incarnation:
            after = 0
        newest, events = state_machine.events(self.now_ms, after)
        if self.faults.drops_reply(name, worker):
            return
        host.poll_positions[worker] = (state_machine.incarnation, newest)
        replies: list[Event] = [
            TaskTerminated(worker, event.task, event.status, event.answer)
            for event in events
        ]
        replies.append(EventsPolled(worker, self.now_ms, state_machine.incarnation))
        usages = tuple(
            TaskUsage(usage["task"], Size(**usage["size"]))
            for usage in state_machine.usage(self.now_ms)
        )
        replies.append(UsageReported(worker, usages))

        host.workers_in_poll.add(worker)

        def deliver_replies() -> None:
            host.workers_in_poll.discard(worker)
            for reply in replies:
                self.deliver(name, reply)

        self._schedule(self.faults.delay_ms(), deliver_replies)

    def _send_host_list(self) -> None:
        if self.now_ms < self._next_host_list_ms:
            return
        self._next_host_list_ms = self.now_ms + HOST_LIST_INTERVAL_MS
        host_list = self._host_list()
        for name in self._hosts:
            if not self.faults.is_partitioned(name, TABLE):
                self.deliver(name, host_list)

    def _host_list(self) -> HostsListed:
        workers = tuple(
            WorkerHost(
                name,
                self.zone,
                f"rack{index // 2}",
                "",
                self._settings.capacity,
                HostState.LEAVING if name in self.draining_workers else HostState.LIVE,
            )
            for index, name in enumerate(self.workers)
            if name not in self.unlisted_workers
        )
        entry_hosts = tuple(EntryHost(name, self.zone, "") for name in self.host_names)
        return HostsListed(workers, entry_hosts)
