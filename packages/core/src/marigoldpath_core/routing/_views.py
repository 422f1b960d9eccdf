"""What an entry host knows of the leader of each availability zone."""

from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.settings import DaemonSettings

# Entry host, leader, and at most one redirect to the leader that the reply names.
MAX_HOPS = 2
# Without a known leader the row is read at most this often for each zone.
RECHECK_MS = 1_000
LONG_AGO_MS = -(10**9)


class LeaderView(NamedTuple):
    """A zone's leader as last heard of; `host` is empty after a release."""

    availability_zone: str
    epoch: int
    host: str
    address: str
    serving: bool = True
    queued: int = 0
    seen_ms: int = 0


class RouteKind(StrEnum):
    """What to do with a request for a zone."""

    FORWARD = "forward"
    REFRESH = "refresh"
    NO_LEADER = "no_leader"


class Route(NamedTuple):
    """A decision; `leader` is set for FORWARD."""

    kind: RouteKind
    leader: LeaderView | None = None


class LeaderCache:
    """The newest view of each zone; a higher epoch replaces a lower one."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._views: dict[str, LeaderView] = {}
        self._checked_ms: dict[str, int] = {}

    @property
    def views(self) -> tuple[LeaderView, ...]:
        """All views, by name of the zone."""
        return tuple(self._views[zone] for zone in sorted(self._views))

    def view(self, zone: str) -> LeaderView | None:
        """Return the view of a zone, however old."""
        return self._views.get(zone)

    def update(self, view: LeaderView) -> bool:
        """Take in a view; return whether it was not older than the one known."""
        if view.availability_zone not in self._settings.availability_zones:
            return False
        known = self._views.get(view.availability_zone)
        if known is not None and known.epoch > view.epoch:
            return False
        if known is not None and known.epoch == view.epoch and not known.host:
            return False
        self._views[view.availability_zone] = view
        return True

    def update_from_row(
        self, zone: str, value: dict[str, Any] | None, now_ms: int
    ) -> LeaderView | None:
        """Take in the row `leader/<zone>`, None for no row; return the view."""
        self._checked_ms[zone] = now_ms
        if value is None:
            return self._views.get(zone)
        view = LeaderView(
            zone, int(value["epoch"]), str(value["host"]), str(value["address"])
        )
        known = self._views.get(zone)
        if known is not None and known[:4] == view[:4]:
            view = known
        view = view._replace(seen_ms=now_ms)
        if value.get("released"):
            view = view._replace(host="", address="", serving=False)
        self.update(view)
        return self._views.get(zone)

    def invalidate(self, zone: str) -> None:
        """Have the row read before the next use of a leader that did not serve."""
        view = self._views.get(zone)
        if view is not None:
            self._views[zone] = view._replace(seen_ms=LONG_AGO_MS)

    def route(self, zone: str, now_ms: int) -> Route:
        """Return where a request for a zone goes, or that the row is read first."""
        view = self._views.get(zone)
        checked_ms = self._checked_ms.get(zone)
        if checked_ms is None or now_ms - checked_ms >= RECHECK_MS:
            max_age_ms = self._settings.routing.view_age_ms
            if view is None or not view.host or now_ms - view.seen_ms > max_age_ms:
                return Route(RouteKind.REFRESH)
        if view is None or not view.host:
            return Route(RouteKind.NO_LEADER)
        return Route(RouteKind.FORWARD, view)

    def mark_checked(self, zone: str, now_ms: int) -> None:
        """Note that the row could not be read, so that an old view is used."""
        self._checked_ms[zone] = now_ms
