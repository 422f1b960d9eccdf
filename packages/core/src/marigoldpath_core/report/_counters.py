"""Counters of one day in one zone."""

from collections import Counter, defaultdict

from ._day import (
    HOURS_PER_DAY,
    WAIT_BUCKET_COUNT,
    DayRecord,
    Flood,
    HostRemoval,
    KindDay,
    Refusal,
    TeamDay,
    WaitCause,
    wait_bucket,
)

# These limits bound the memory. Refusals are counted by kind, team, code and field, and
# callers choose the name of the team, so the number of counts has no other bound.
MAX_REFUSALS = 1_000
MAX_TEAMS = 1_000
MAX_HOSTS = 500
MAX_FLOODS = 100


class DayCounters:
    """Counts the events of one day in one zone; create a new instance for each day."""

    def __init__(self) -> None:
        self._kinds: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self._hours: defaultdict[str, list[int]] = defaultdict(
            lambda: [0] * HOURS_PER_DAY
        )
        self._waits: defaultdict[str, list[int]] = defaultdict(
            lambda: [0] * WAIT_BUCKET_COUNT
        )
        self._teams: dict[str, Counter[str]] = {}
        self._causes: dict[tuple[str, str], WaitCause] = {}
        self._refusals: dict[tuple[str, str, str, str], Refusal] = {}
        self._floods: list[Flood] = []
        self._hosts: list[HostRemoval] = []

    def count_submitted(self, kind: str) -> None:
        """Count a submitted request."""
        self._kinds[kind]["submitted"] += 1

    def count_started(self, kind: str, wait_ms: int, cause: str = "") -> None:
        """Count the first start of a request, its wait and the cause of the wait."""
        self._waits[kind][wait_bucket(wait_ms)] += 1
        if cause:
            previous = self._causes.get((kind, cause), WaitCause(kind, cause))
            self._causes[kind, cause] = previous._replace(
                requests=previous.requests + 1, total_ms=previous.total_ms + wait_ms
            )

    def count_done(self, kind: str, team: str, hour: int, cpu_ms: int) -> None:
        """Count a completed request; `cpu_ms` is its cores times its run time in ms."""
        counts = self._kinds[kind]
        counts["done"] += 1
        counts["cpu_ms"] += cpu_ms
        self._hours[kind][hour] += 1
        self._count_team(team, done=1, cpu_ms=cpu_ms)

    def count_cpu_time(self, kind: str, team: str, cpu_ms: int) -> None:
        """Add CPU time allocated to tasks; `cpu_ms` is cores times run time in ms."""
        self._kinds[kind]["cpu_ms"] += cpu_ms
        self._count_team(team, cpu_ms=cpu_ms)

    def count_cancelled(self, kind: str) -> None:
        """Count a request that its caller cancelled."""
        self._kinds[kind]["cancelled"] += 1

    def count_unknown(self, kind: str) -> None:
        """Count a request for which it cannot be determined whether it ran."""
        self._kinds[kind]["unknown"] += 1

    def count_refused(self, refusal: Refusal) -> None:
        """Count a refused request.

        Of the refusals with the same kind, team, code and field, the one with the
        largest `needed` is kept.
        """
        self._kinds[refusal.kind]["refused"] += 1
        self._count_team(refusal.team, refused=1)
        key = (refusal.kind, refusal.team, refusal.code, refusal.field)
        previous = self._refusals.get(key)
        if previous is None and len(self._refusals) >= MAX_REFUSALS:
            return
        count = previous.requests if previous else 0
        if previous is not None and previous.needed > refusal.needed:
            refusal = previous
        self._refusals[key] = refusal._replace(requests=count + 1)

    def add_flood(self, flood: Flood) -> None:
        """Record a flood that has ended."""
        if len(self._floods) < MAX_FLOODS:
            self._floods.append(flood)

    def host_removed(self, removal: HostRemoval) -> None:
        """Record a worker that was removed from service."""
        if len(self._hosts) < MAX_HOSTS:
            self._hosts.append(removal)

    def host_restored(self, host: str, at: str) -> None:
        """Record that a worker returned to service at the time of day `at` (HH:MM)."""
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
        """Return the record so far; `waiting` and `running` are the current counts."""
        kinds = sorted({*self._kinds, *self._waits, *waiting, *running})
        return DayRecord(
            day=day,
            availability_zones=(availability_zone,),
            kinds=tuple(
                self._kind_day(kind, waiting.get(kind, 0), running.get(kind, 0))
                for kind in kinds
            ),
            teams=tuple(
                TeamDay(
                    team, counts["done"], counts["refused"], counts["cpu_ms"] // 1_000
                )
                for team, counts in self._teams.items()
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
