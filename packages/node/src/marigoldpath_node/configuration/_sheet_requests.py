"""Has the work run that the sheet itself describes."""

import curio

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.requests import Outcome, Request, RequestKey
from marigoldpath_core.settings import DaemonSettings

from ..observability import Telemetry
from ..peers import Forwarder
from ..runtime import Runtime

# Submissions in flight at once, so that a large sheet does not fill the queue of
# the zone before callers.
AT_ONCE = 32


class SheetRequestSubmitter:
    """Submits and cancels the sheet's requests.

    Services, whose kind is standing, are submitted by their zone's leader whenever
    it knows no request of that id. Other work runs once: the entry host that applied
    the sheet submits what it adds, and so does a leader that saw the change and does
    not know the request, since the applying host may have died. A leader that learns
    of a version only later does not, because it cannot tell what the version added
    and might run work again that it has forgotten.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        forwarder: Forwarder,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._forwarder = forwarder
        self._log = telemetry.log
        self._before = Configuration()
        self._in_flight: set[RequestKey] = set()
        self._added: dict[RequestKey, Request] = {}

    async def follow(self, configuration: Configuration) -> None:
        """Cancel the services of this leader's zone that are gone or changed.

        A changed one is submitted anew once its leader has forgotten the old one.
        """
        before, self._before = self._before, configuration
        saw_change = before.version > 0 or configuration.version == 1
        added = _added_work(before, configuration) if saw_change else []
        self._added = {request.key: request for request in added}
        if not self._runtime.serving:
            return
        wanted = {request.key: request for request in configuration.standing}
        for request in self._services(before):
            if wanted.get(request.key) != request:
                await curio.spawn(self._cancel, request.key, daemon=True)

    async def submit_missing(self, configuration: Configuration) -> None:
        """Submit what this leader's zone has to run and the leader does not know."""
        if not self._runtime.serving or self._runtime.draining:
            return
        zone = self._settings.availability_zone
        once = [r for r in self._added.values() if r.key.availability_zone == zone]
        for request in [*self._services(configuration), *once]:
            if len(self._in_flight) >= AT_ONCE:
                return
            if self._runtime.request_state(request.key) is not None:
                self._added.pop(request.key, None)
            elif request.key not in self._in_flight:
                self._in_flight.add(request.key)
                await curio.spawn(self._submit_missing, request, daemon=True)

    async def submit_once(self, before: Configuration, after: Configuration) -> None:
        """Submit the work that an applied sheet adds and that is no service."""
        for request in _added_work(before, after):
            self._report(request, await self._forwarder.submit(request, ""))

    def _services(self, configuration: Configuration) -> list[Request]:
        """Return the sheet's standing requests of this host's zone."""
        standing = {kind.name for kind in configuration.kinds if kind.standing}
        zone = self._settings.availability_zone
        return [
            request
            for request in configuration.standing
            if request.kind in standing and request.key.availability_zone == zone
        ]

    async def _submit_missing(self, request: Request) -> None:
        try:
            self._report(request, await self._forwarder.submit(request, ""))
        finally:
            self._in_flight.discard(request.key)

    def _report(self, request: Request, outcome: Outcome) -> None:
        self._log.info(
            "work_of_the_sheet_submitted",
            request=str(request.key),
            outcome=outcome.kind.value,
            reason=outcome.message,
        )

    async def _cancel(self, key: RequestKey) -> None:
        outcome = await self._forwarder.cancel(key)
        self._log.info(
            "service_cancelled", request=str(key), outcome=outcome.kind.value
        )


def _added_work(before: Configuration, after: Configuration) -> list[Request]:
    """Return the work that a version adds and that is no service."""
    known = {request.key for request in before.standing}
    services = {kind.name for kind in after.kinds if kind.standing}
    return [
        request
        for request in after.standing
        if request.key not in known and request.kind not in services
    ]
