"""Tests of leader election and claims, with an exact order of messages."""

import unittest

from marigoldpath_core.leadership import (
    Elected,
    Leadership,
    SteppedDown,
    WorkerClaimed,
    claim_name,
)
from marigoldpath_core.messages import (
    CreateRow,
    Effect,
    Event,
    HostsListed,
    ListTasks,
    ReadRow,
    RenewLeases,
    Row,
    RowRead,
    RowReadFailed,
    RowWriteReplied,
    RunningTask,
    StartsReplied,
    StartStatus,
    StartTasks,
    StopTasks,
    TasksListed,
    Tick,
    WorkerHost,
    WorkerReport,
    WriteRow,
    WriteStatus,
)
from marigoldpath_core.requests import Size
from marigoldpath_core.settings import DaemonSettings

WORKERS = ("w1", "w2", "w3")


def settings(host: str) -> DaemonSettings:
    return DaemonSettings(
        host=host,
        region="jadran",
        availability_zone="zadar",
        availability_zones=("zadar",),
        platform_address="127.0.0.1:1",
    )


class FakeTable:
    """A table of one row with compare-and-set, which can be down or lose replies."""

    def __init__(self) -> None:
        self.row: Row | None = None
        self.is_down = False
        self.loses_replies = False

    def perform(self, effect: ReadRow | CreateRow | WriteRow) -> Event:
        if isinstance(effect, ReadRow):
            if self.is_down:
                return RowReadFailed(effect.key)
            return RowRead(effect.key, self.row)
        if self.is_down:
            return RowWriteReplied(effect.key, WriteStatus.UNKNOWN)
        version = self.row.version if self.row else 0
        expected = effect.version if isinstance(effect, WriteRow) else 0
        if version != expected:
            return RowWriteReplied(effect.key, WriteStatus.CONFLICT)
        self.row = Row(effect.key, effect.value, version + 1)
        if self.loses_replies:
            return RowWriteReplied(effect.key, WriteStatus.UNKNOWN)
        return RowWriteReplied(effect.key, WriteStatus.WRITTEN, version + 1)


class FakeWorker:
    """A worker with tasks and a clock; it accepts a start before its time limit."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.tasks: list[RunningTask] = []
        self.sequence = 0
        self.incarnation = "1"

    def report(self, now_ms: int) -> WorkerReport:
        self.tasks = [task for task in self.tasks if task.lease_until_ms > now_ms]
        return WorkerReport(now_ms, self.incarnation, tuple(self.tasks))

    def perform(self, effect: Effect, now_ms: int) -> Event | None:
        self.report(now_ms)
        if isinstance(effect, StartTasks):
            return self.start(effect, now_ms)
        if isinstance(effect, StopTasks):
            self.tasks = [t for t in self.tasks if t.task not in effect.tasks]
            return None
        if isinstance(effect, RenewLeases):
            self.tasks = [
                t._replace(lease_until_ms=effect.lease_until_ms)
                if t.task in effect.tasks
                else t
                for t in self.tasks
            ]
        return TasksListed(self.name, self.report(now_ms))

    def start(self, effect: StartTasks, now_ms: int) -> Event:
        statuses = {}
        for start in effect.starts:
            statuses[start.task] = StartStatus.EXPIRED
            if start.start_before_ms > now_ms:
                statuses[start.task] = StartStatus.STARTED
                self.sequence += 1
                self.tasks.append(
                    RunningTask(
                        start.task,
                        effect.holder,
                        self.sequence,
                        start.size,
                        start.lease_until_ms,
                    )
                )
        return StartsReplied(self.name, now_ms, statuses)


class SimulatedZone:
    """Hosts, workers and a table with immediate replies, in steps of 100 ms."""

    def __init__(self, *hosts: str) -> None:
        self.now_ms = 1_000
        self.table = FakeTable()
        self.workers = {name: FakeWorker(name) for name in WORKERS}
        self.hosts: dict[str, Leadership] = {}
        self.paused: set[str] = set()
        self.partitioned_from_table: set[str] = set()
        self.changes: dict[str, list] = {}
        for host in hosts:
            self.add(host)

    def add(self, host: str) -> None:
        self.hosts[host] = Leadership(settings(host), f"{host}-1")
        self.changes[host] = []
        listed = tuple(
            WorkerHost(name, "zadar", "r1", "", Size()) for name in self.workers
        )
        self.deliver(host, HostsListed(listed))

    def deliver(self, host: str, event: Event) -> None:
        pending = [event]
        while pending:
            update = self.hosts[host].handle(pending.pop(0), self.now_ms)
            self.changes[host].extend(update.changes)
            for effect in update.effects:
                reply = self.perform(host, effect)
                if reply is not None:
                    pending.append(reply)

    def perform(self, host: str, effect: Effect) -> Event | None:
        if isinstance(effect, ReadRow | CreateRow | WriteRow):
            if host in self.partitioned_from_table:
                if isinstance(effect, ReadRow):
                    return RowReadFailed(effect.key)
                return RowWriteReplied(effect.key, WriteStatus.UNKNOWN)
            return self.table.perform(effect)
        return self.workers[effect.worker].perform(effect, self.now_ms)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 10)):
            self.now_ms += 100
            for host in list(self.hosts):
                if host not in self.paused:
                    self.deliver(host, Tick())
            self.check_single_leader()

    def check_single_leader(self) -> None:
        active = [h for h in self.leaders() if h not in self.paused]
        assert len(active) <= 1, f"several leaders: {active}"

    def leaders(self) -> list[str]:
        return [
            host
            for host, leadership in self.hosts.items()
            if leadership.is_authorized(self.now_ms)
        ]


class ElectionTests(unittest.TestCase):
    def test_two_simultaneous_candidates_elect_one_leader(self) -> None:
        zone = SimulatedZone("a", "b")
        zone.run(6)
        self.assertEqual(len(zone.leaders()), 1)
        self.assertIn(Elected(1), zone.changes["a"] + zone.changes["b"])

    def test_a_lost_reply_to_the_row_write_does_not_prevent_election(self) -> None:
        zone = SimulatedZone("a")
        zone.table.loses_replies = True
        zone.run(6)
        self.assertEqual(zone.leaders(), ["a"])

    def test_a_failed_leader_is_replaced_after_its_row_and_claims_expire(self) -> None:
        zone = SimulatedZone("a")
        zone.run(6)
        zone.add("b")
        zone.paused.add("a")
        zone.run(2.5)
        self.assertEqual(zone.hosts["b"].epoch, 0)
        zone.run(8)
        self.assertEqual(zone.leaders(), ["b"])
        self.assertEqual(zone.hosts["b"].epoch, 2)

    def test_a_released_row_is_acquired_at_once(self) -> None:
        zone = SimulatedZone("a", "b")
        zone.run(6)
        (leader,) = zone.leaders()
        other = "b" if leader == "a" else "a"
        for effect in zone.hosts[leader].release(zone.now_ms, clean=True).effects:
            zone.perform(leader, effect)
        zone.hosts[leader].stop_candidacy()
        zone.run(2)
        self.assertEqual(zone.hosts[other].epoch, 2)
        self.assertIsNotNone(zone.hosts[other].start_before_clock_ms("w1", zone.now_ms))


class ClaimTests(unittest.TestCase):
    def test_a_new_leader_waits_for_a_claim_lease_before_placing(self) -> None:
        zone = SimulatedZone("a")
        zone.run(2)
        self.assertIsNone(zone.hosts["a"].start_before_clock_ms("w1", zone.now_ms))
        zone.run(3)
        self.assertIsNotNone(zone.hosts["a"].start_before_clock_ms("w1", zone.now_ms))

    def test_starts_of_a_paused_leader_expire_before_the_next_leader_places(
        self,
    ) -> None:
        zone = SimulatedZone("a")
        zone.run(6)
        start_before_ms = zone.hosts["a"].start_before_clock_ms("w1", zone.now_ms)
        assert start_before_ms is not None
        zone.paused.add("a")
        zone.add("b")
        while zone.hosts["b"].start_before_clock_ms("w1", zone.now_ms) is None:
            zone.run(0.1)
        self.assertGreaterEqual(zone.now_ms, start_before_ms)

    def test_a_resumed_leader_steps_down_at_its_first_message(self) -> None:
        zone = SimulatedZone("a")
        zone.run(6)
        zone.paused.add("a")
        zone.add("b")
        zone.run(12)
        self.assertEqual(zone.leaders(), ["b"])
        zone.paused.clear()
        zone.run(0.2)
        self.assertEqual(zone.hosts["a"].epoch, 0)
        self.assertTrue(
            any(isinstance(change, SteppedDown) for change in zone.changes["a"])
        )

    def test_claims_preserve_leadership_for_an_hour_without_the_table(self) -> None:
        zone = SimulatedZone("a", "b")
        zone.run(6)
        leader = zone.leaders()
        zone.table.is_down = True
        zone.run(3_600)
        self.assertEqual(zone.leaders(), leader)

    def test_a_leader_without_the_table_steps_down_for_a_higher_epoch(self) -> None:
        zone = SimulatedZone("a")
        zone.run(6)
        zone.add("b")
        zone.partitioned_from_table.add("a")
        zone.run(12)
        self.assertEqual(zone.leaders(), ["b"])
        self.assertEqual(zone.hosts["a"].epoch, 0)

    def test_a_restarted_worker_is_claimed_again_after_settling(self) -> None:
        zone = SimulatedZone("a")
        zone.run(6)
        zone.workers["w1"].tasks.clear()
        zone.workers["w1"].incarnation = "2"
        zone.run(1.2)
        self.assertIsNone(zone.hosts["a"].start_before_clock_ms("w1", zone.now_ms))
        zone.run(5)
        self.assertIsNotNone(zone.hosts["a"].start_before_clock_ms("w1", zone.now_ms))

    def test_a_claim_behind_a_live_one_does_not_allow_placement(self) -> None:
        zone = SimulatedZone("a")
        foreign = RunningTask(claim_name("zadar", 0, "old"), "old", 1, Size(), 10**9)
        zone.workers["w1"].tasks.append(foreign)
        zone.run(10)
        self.assertIsNone(zone.hosts["a"].start_before_clock_ms("w1", zone.now_ms))
        claimed_workers = [
            c.worker for c in zone.changes["a"] if isinstance(c, WorkerClaimed)
        ]
        self.assertNotIn("w1", claimed_workers)

    def test_a_leader_without_the_table_and_a_quorum_steps_down(self) -> None:
        zone = SimulatedZone("a")
        zone.run(6)
        zone.table.is_down = True
        for name in ("w1", "w2"):
            zone.workers[name].perform = lambda effect, now_ms: None  # type: ignore
        zone.run(10)
        self.assertEqual(zone.leaders(), [])
        self.assertEqual(zone.hosts["a"].epoch, 0)

    def test_a_poll_without_reply_is_repeated(self) -> None:
        leadership = Leadership(settings("a"), "a-1")
        host = WorkerHost("w1", "zadar", "r1", "", Size())
        leadership.handle(HostsListed((host,)), 0)
        leadership.handle(RowRead("leader/zadar", None), 0)
        written = RowWriteReplied("leader/zadar", WriteStatus.WRITTEN, 1)
        self.assertEqual(leadership.handle(written, 0).effects, [ListTasks("w1")])
        self.assertNotIn(ListTasks("w1"), leadership.handle(Tick(), 1_500).effects)
        self.assertIn(ListTasks("w1"), leadership.handle(Tick(), 2_500).effects)


if __name__ == "__main__":
    unittest.main()
