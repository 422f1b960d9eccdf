"""Finds the leaders of zones from leader rows, beacons and this host's scheduler."""

import curio

from marigoldpath_core.routing import LeaderCache, LeaderView, Route, RouteKind
from marigoldpath_core.settings import DaemonSettings

from ..observability import Telemetry
from ..platform import PlatformClient, PlatformError
from ..runtime import Runtime, clock_ms


class LeaderDirectory:
    """Finds the leaders of zones; rereads the leader row of a stale cache entry."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        platform: PlatformClient,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._platform = platform
        self._telemetry = telemetry
        self._views = LeaderCache(settings)
        self._reads: dict[str, curio.Event] = {}

    @property
    def leader_cache(self) -> LeaderCache:
        """The cached leader views."""
        return self._views

    def refresh_own_zone(self) -> LeaderView | None:
        """Update the cache from this host's scheduler.

        Return the leader of this host's zone, or None if it is unknown.
        """
        leader = self._runtime.scheduler.leader
        if leader is None:
            return None
        host, address, epoch = leader
        zone = self._settings.availability_zone
        known = self._views.view(zone)
        is_own = host == self._settings.host
        if known is not None and known[1:4] == (epoch, host, address) and not is_own:
            return known
        serving = not is_own or self._runtime.serving
        view = LeaderView(zone, epoch, host, address, serving, 0, clock_ms())
        self._views.update(view)
        return view

    async def find_route(self, zone: str) -> Route:
        """Return the route to a zone's leader, reading the leader row if necessary."""
        if zone == self._settings.availability_zone:
            self.refresh_own_zone()
        route = self._views.route(zone, clock_ms())
        if route.kind != RouteKind.REFRESH:
            return route
        await self._refresh(zone)
        route = self._views.route(zone, clock_ms())
        if route.kind == RouteKind.REFRESH:
            return Route(RouteKind.NO_LEADER)
        return route

    async def _refresh(self, zone: str) -> None:
        """Read the leader row; concurrent callers share one read."""
        read_done = self._reads.get(zone)
        if read_done is not None:
            await read_done.wait()
            return
        read_done = self._reads[zone] = curio.Event()
        try:
            row = await self._platform.read_row(f"leader/{zone}")
            value = None if row is None else row.value
            self._views.update_from_row(zone, value, clock_ms())
        except (PlatformError, KeyError, TypeError, ValueError) as error:
            self._views.mark_checked(zone, clock_ms())
            self._telemetry.log.info("leader_row_not_read", of=zone, reason=str(error))
        finally:
            del self._reads[zone]
            await read_done.set()
