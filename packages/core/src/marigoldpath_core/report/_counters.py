"""Counts what a zone's leader does, for the record of the day."""

from collections import Counter, defaultdict

from ._day import (
    HOURS,
    WAIT_CLASSES,
    DayRecord,
    Flood,
    HostRemoval,
    KindDay,
    Refusal,
    TeamDay,
    WaitCause,
    wait_class,
)

# Refusals are counted by kind, team, code and field. Teams come from callers, so that
# the number of different ones is bounded.
MAX_REFUSALS = 1_000
MAX_TEAMS = 1_000
MAX_HOSTS = 500
MAX_FLOODS = 100


class DayCounters:
    """Counters of one day in one zone; a new day begins with a new object."""

    def __init__(self) -> None:
        self._kinds: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self._hours: defaultdict[str, list[int]] = defaultdict(lambda: [0] * HOURS)
        self._waits: defaultdict[str, list[int]] = defaultdict(
            lambda: [0] * WAIT_CLASSES
        )
        self._teams: dict[str, Counter[str]] = {}
        self._causes: dict[tuple[str, str], WaitCause] = {}
        self._refusals: dict[tuple[str, str, str, str], Refusal] = {}
        self._floods: list[Flood] = []
        self._hosts: list[HostRemoval] = []

    def submitted(self, kind: str) -> None:
        """Count a request."""
        self._kinds[kind]["submitted"] += 1

    def started(self, kind: str, wait_ms: int, cause: str = "") -> None:
        """Count the first start of a request and why it had to wait."""
        self._waits[kind][wait_class(wait_ms)] += 1
        if cause:
            before = self._causes.get((kind, cause), WaitCause(kind, cause))
            self._causes[kind, cause] = before._replace(
                requests=before.requests + 1, total_ms=before.total_ms + wait_ms
            )

    def done(self, kind: str, team: str, hour: int, cpu_ms: int) -> None:
        """Count a request that ran; `cpu_ms` is its cores times its run time."""
        counts = self._kinds[kind]
        counts["done"] += 1
        counts["cpu_ms"] += cpu_ms
        self._hours[kind][hour] += 1
        self._count_team(team, done=1, cpu_ms=cpu_ms)

    def held(self, kind: str, team: str, cpu_ms: int) -> None:
        """Count processor time that tasks held; `cpu_ms` is cores times run time."""
        self._kinds[kind]["cpu_ms"] += cpu_ms
        self._count_team(team, cpu_ms=cpu_ms)

    def cancelled(self, kind: str) -> None:
        """Count a request that its caller cancelled."""
        self._kinds[kind]["cancelled"] += 1

    def unknown(self, kind: str) -> None:
        """Count a request of which nobody knows whether it ran."""
        self._kinds[kind]["unknown"] += 1

    def refused(self, refusal: Refusal) -> None:
        """Count one refusal; the figures of the largest request are kept."""
        self._kinds[refusal.kind]["refused"] += 1
        self._count_team(refusal.team, refused=1)
        key = (refusal.kind, refusal.team, refusal.code, refusal.field)
        before = self._refusals.get(key)
        if before is None and len(self._refusals) >= MAX_REFUSALS:
            return
        count = before.requests if before else 0
        if before is not None and before.needed > refusal.needed:
            refusal = before
        self._refusals[key] = refusal._replace(requests=count + 1)

    def flood(self, flood: Flood) -> None:
        """Note a flood that has ended."""
        if len(self._floods) < MAX_FLOODS:
            self._floods.append(flood)

    def host_removed(self, removal: HostRemoval) -> None:
        """Note a worker that is taken out of service."""
        if len(self._hosts) < MAX_HOSTS:
            self._hosts.append(removal)

    def host_restored(self, host: str, at: str) -> None:
        """Note that a worker is in service again."""
        for index, removal in enumerate(self._hosts):
            if removal.host == host and not removal.back_at:
                self._hosts[index] = removal._replace(back_at=at)

    def record(
        self,
        day: str,
        availability_zone: str,
        waiting: dict[str, int],
        running: dict[str, int],
    ) -> DayRecord:
        """Return the record so far; `waiting` and `running` are those of now."""
        kinds = sorted({*self._kinds, *self._waits, *waiting, *running})
        return DayRecord(
            day=day,
            availability_zones=(availability_zone,),
            kinds=tuple(
                self._kind_day(kind, waiting.get(kind, 0), running.get(kind, 0))
                for kind in kinds
            ),
            teams=tuple(
                TeamDay(team, c["done"], c["refused"], c["cpu_ms"] // 1_000)
                for team, c in self._teams.items()
            ),
            wait_causes=tuple(self._causes.values()),
            refusals=tuple(self._refusals.values()),
            floods=tuple(self._floods),
            hosts=tuple(self._hosts),
        )

    def _kind_day(self, kind: str, waiting: int, running: int) -> KindDay:
        counts = self._kinds[kind]
        return KindDay(
            kind=kind,
            submitted=counts["submitted"],
            done=counts["done"],
            refused=counts["refused"],
            unknown=counts["unknown"],
            cancelled=counts["cancelled"],
            still_waiting=waiting,
            still_running=running,
            cpu_seconds=counts["cpu_ms"] // 1_000,
            done_by_hour=tuple(self._hours[kind]),
            waits=tuple(self._waits[kind]),
        )

    def _count_team(
        self, team: str, done: int = 0, refused: int = 0, cpu_ms: int = 0
    ) -> None:
        if team not in self._teams and len(self._teams) >= MAX_TEAMS:
            return
        counts = self._teams.setdefault(team, Counter())
        counts.update(done=done, refused=refused, cpu_ms=cpu_ms)
