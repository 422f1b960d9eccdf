"""Submits the requests that the sheet lists."""

import curio

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.requests import Outcome, Request, RequestKey
from marigoldpath_core.settings import DaemonSettings

from ..observability import Telemetry
from ..peers import Forwarder
from ..runtime import Runtime

# Limits concurrent submissions, so that a large sheet does not fill the zone's queue
# before callers can submit.
MAX_IN_FLIGHT = 32


class SheetRequestSubmitter:
    """Submits and cancels the requests that the sheet lists.

    Services are long-running requests, whose kind is `standing`. The leader of their
    zone submits a service whenever it has no request with that id. Other requests run
    once. The entry host that applied the sheet submits the requests that the sheet
    adds. A leader that received the change also submits them if it has no such request,
    because the applying host may have failed. A leader that receives the version later
    does not, because it cannot determine which requests the version added and might
    repeat a request whose record it has already removed.
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
        self._previous = Configuration()
        self._in_flight: set[RequestKey] = set()
        self._added: dict[RequestKey, Request] = {}

    async def handle_change(self, configuration: Configuration) -> None:
        """Cancel services of this leader's zone that were removed or changed.

        A changed service is submitted again once the leader has removed the record of
        the old request.
        """
        before, self._previous = self._previous, configuration
        saw_change = before.version > 0 or configuration.version == 1
        added = _added_requests(before, configuration) if saw_change else []
        self._added = {request.key: request for request in added}
        if not self._runtime.serving:
            return
        wanted = {request.key: request for request in configuration.standing}
        for request in self._services(before):
            if wanted.get(request.key) != request:
                await curio.spawn(self._cancel, request.key, daemon=True)

    async def submit_missing(self, configuration: Configuration) -> None:
        """Submit the sheet's requests for this leader's zone that the leader lacks."""
        if not self._runtime.serving or self._runtime.draining:
            return
        zone = self._settings.availability_zone
        one_time = [r for r in self._added.values() if r.key.availability_zone == zone]
        for request in [*self._services(configuration), *one_time]:
            if len(self._in_flight) >= MAX_IN_FLIGHT:
                return
            if self._runtime.request_state(request.key) is not None:
                self._added.pop(request.key, None)
            elif request.key not in self._in_flight:
                self._in_flight.add(request.key)
                await curio.spawn(self._submit_missing, request, daemon=True)

    async def submit_added(self, before: Configuration, after: Configuration) -> None:
        """Submit the requests, except services, that an applied sheet adds."""
        for request in _added_requests(before, after):
            self._report(request, await self._forwarder.submit(request, ""))

    def _services(self, configuration: Configuration) -> list[Request]:
        """Return the sheet's services in this host's zone."""
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


def _added_requests(before: Configuration, after: Configuration) -> list[Request]:
    """Return the requests, except services, that a version adds."""
    known = {request.key for request in before.standing}
    services = {kind.name for kind in after.kinds if kind.standing}
    return [
        request
        for request in after.standing
        if request.key not in known and request.kind not in services
    ]
