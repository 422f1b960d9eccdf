"""Cache of the leader of each availability zone."""

from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.settings import DaemonSettings

# The hop to the cached leader and at most one redirect to the leader named in its
# reply.
MAX_HOPS = 2
# The leader row of a zone is read at most once in this time. Until the next read, the
# cached leader is used even if it is old; without one, the zone has no known leader.
ROW_RECHECK_MS = 1_000
LONG_AGO_MS = -(10**9)


class LeaderView(NamedTuple):
    """The last known leader of a zone; `host` is empty after it released leadership."""

    availability_zone: str
    epoch: int
    host: str
    address: str
    serving: bool = True
    queued: int = 0
    seen_ms: int = 0


class RouteKind(StrEnum):
    """The next step for a request: what to do about the leader of its zone.

    FORWARD: send the request to the leader. REFRESH: read the leader row first.
    NO_LEADER: the zone has no known leader.
    """

    FORWARD = "forward"
    REFRESH = "refresh"
    NO_LEADER = "no_leader"


class Route(NamedTuple):
    """A routing decision; `leader` is set for FORWARD."""

    kind: RouteKind
    leader: LeaderView | None = None


class LeaderCache:
    """Caches the leader of each zone; a higher epoch replaces a lower one."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._views: dict[str, LeaderView] = {}
        self._row_checked_ms: dict[str, int] = {}

    @property
    def views(self) -> tuple[LeaderView, ...]:
        """Return the cached leaders of all zones, sorted by zone."""
        return tuple(self._views[zone] for zone in sorted(self._views))

    def view(self, zone: str) -> LeaderView | None:
        """Return the cached leader of a zone regardless of its age, or None."""
        return self._views.get(zone)

    def update(self, view: LeaderView) -> bool:
        """Cache a leader and return True, or return False if it is not accepted.

        Leaders of unknown zones and of lower epochs than the cached one are not
        accepted, nor is a leader of an epoch whose leader has released leadership.
        """
        if view.availability_zone not in self._settings.availability_zones:
            return False
        cached = self._views.get(view.availability_zone)
        if cached is not None and cached.epoch > view.epoch:
            return False
        if cached is not None and cached.epoch == view.epoch and not cached.host:
            return False
        self._views[view.availability_zone] = view
        return True

    def update_from_row(
        self, zone: str, value: dict[str, Any] | None, now_ms: int
    ) -> LeaderView | None:
        """Update the cached leader of a zone from the row `leader/<zone>`.

        Return the leader that is cached then, or None. `value` is None if the row does
        not exist.
        """
        self._row_checked_ms[zone] = now_ms
        if value is None:
            return self._views.get(zone)
        view = LeaderView(
            zone, int(value["epoch"]), str(value["host"]), str(value["address"])
        )
        cached = self._views.get(zone)
        if cached is not None and cached[:4] == view[:4]:
            view = cached
        view = view._replace(seen_ms=now_ms)
        if value.get("released"):
            view = view._replace(host="", address="", serving=False)
        self.update(view)
        return self._views.get(zone)

    def invalidate(self, zone: str) -> None:
        """Make the cached leader too old, so that its row is read before the next use.

        If the row was read less than `ROW_RECHECK_MS` ago, it is not read again yet,
        and the cached leader is still used.
        """
        view = self._views.get(zone)
        if view is not None:
            self._views[zone] = view._replace(seen_ms=LONG_AGO_MS)

    def route(self, zone: str, now_ms: int) -> Route:
        """Return the route for a request, or REFRESH if the row must be read first."""
        view = self._views.get(zone)
        checked_ms = self._row_checked_ms.get(zone)
        if checked_ms is None or now_ms - checked_ms >= ROW_RECHECK_MS:
            max_age_ms = self._settings.routing.view_age_ms
            if view is None or not view.host or now_ms - view.seen_ms > max_age_ms:
                return Route(RouteKind.REFRESH)
        if view is None or not view.host:
            return Route(RouteKind.NO_LEADER)
        return Route(RouteKind.FORWARD, view)

    def mark_checked(self, zone: str, now_ms: int) -> None:
        """Record a failed read of the row.

        Until the next read is due, the cached leader is used regardless of its age.
        """
        self._row_checked_ms[zone] = now_ms
