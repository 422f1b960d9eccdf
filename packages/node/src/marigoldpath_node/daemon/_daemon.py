"""Creates and runs the components of the daemon."""

import resource
import secrets
import time
from collections.abc import Callable

import curio

from marigoldpath_core.request_budget import BudgetLimits, ClosureLog
from marigoldpath_core.settings import DaemonSettings

from ..api import Api, ApiContext
from ..configuration import ConfigurationService, PeerVersionSync, SheetRequestSubmitter
from ..http import (
    ClosedConnection,
    ConnectionGuard,
    HttpClient,
    HttpClientSettings,
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
)
from ..observability import Telemetry
from ..peers import (
    BeaconSender,
    DayRecordCollector,
    EntryHostClient,
    Forwarder,
    LeaderDirectory,
    OutcomeDelivery,
    PeerRequestHandler,
    PendingCalls,
)
from ..platform import create_platform_client
from ..runtime import HostDirectory, Runtime, Scheduler
from ..workers import create_worker_client

DRAIN_TIMEOUT_S = 30.0
DRAIN_POLL_S = 0.05
CLOSE_IDLE_INTERVAL_S = 15.0
PEER_PREFIX = "/v1/peer/"
# With fewer free descriptors, the connections that are idle for the longest are closed,
# so that workers and peers can still be called.
FREE_DESCRIPTORS = 64
CLOSURE_LOG_INTERVAL_S = 1.0


class Daemon:
    """One entry host; call `bind` before `run`."""

    def __init__(
        self,
        settings: DaemonSettings,
        create_scheduler: Callable[[DaemonSettings, str], Scheduler],
        telemetry: Telemetry,
    ) -> None:
        self._telemetry = telemetry
        self._create_scheduler = create_scheduler
        self._settings = settings
        self._closure_log = ClosureLog(CLOSURE_LOG_INTERVAL_S)
        self._guard = ConnectionGuard(_budget_limits(settings), self._record_closure)
        self._http = HttpClient(HttpClientSettings(), self._guard.keep_descriptors)
        self._server = HttpServer(_server_settings(settings), self._handle, self._guard)
        self._api: Api | None = None
        self._runtime: Runtime | None = None
        self._calls = PendingCalls()

    @property
    def settings(self) -> DaemonSettings:
        """The settings; after `bind` they have the port that is bound."""
        return self._settings

    @property
    def runtime(self) -> Runtime:
        """The runtime, available after `run` has started."""
        assert self._runtime is not None
        return self._runtime

    def bind(self) -> None:
        """Bind the listening socket; raises OSError if the address is in use."""
        self._server.listen()
        listen = self._settings.listen._replace(port=self._server.port)
        self._settings = self._settings._replace(listen=listen)

    async def run(self) -> None:
        """Serve until cancelled."""
        settings, telemetry = self._settings, self._telemetry
        directory = HostDirectory()
        peer_client = EntryHostClient(settings, self._http)
        delivery = OutcomeDelivery(
            settings, self._calls, peer_client, directory, telemetry
        )
        platform = create_platform_client(settings, self._http)
        runtime = Runtime(
            settings,
            self._create_scheduler(settings, secrets.token_hex(8)),
            platform=platform,
            workers=create_worker_client(settings, self._http),
            outcomes=delivery,
            directory=directory,
            telemetry=telemetry,
        )
        leaders = LeaderDirectory(settings, runtime, platform, telemetry)
        calls = self._calls
        forwarder = Forwarder(
            settings,
            runtime,
            leaders=leaders,
            calls=calls,
            peer_client=peer_client,
            telemetry=telemetry,
        )
        configuration = ConfigurationService(
            runtime.effect_context,
            PeerVersionSync(settings, directory, peer_client),
            SheetRequestSubmitter(settings, runtime, forwarder, telemetry),
            runtime.configure,
        )
        context = ApiContext(
            settings,
            runtime,
            forwarder,
            leaders,
            calls,
            PeerRequestHandler(
                settings,
                runtime,
                leaders=leaders,
                calls=calls,
                delivery=delivery,
                telemetry=telemetry,
            ),
            telemetry,
            configuration,
            DayRecordCollector(settings, runtime, leaders, peer_client),
            self.drain,
            self._count_traffic,
        )
        self._runtime = runtime
        self._api = Api(context)
        telemetry.log.info("started", address=settings.address)
        if settings.keys and all(key.role != "operator" for key in settings.keys):
            telemetry.log.error(
                "no_operator_key",
                reason="entry hosts use an operator's key to forward to each other;"
                " add one to keys in the settings of all entry hosts",
            )
        try:
            async with curio.TaskGroup() as tasks:
                await tasks.spawn(runtime.run)
                await tasks.spawn(configuration.run)
                await tasks.spawn(
                    BeaconSender(settings, runtime, directory, peer_client).run
                )
                await tasks.spawn(self._close_idle_connections)
                await tasks.spawn(self._server.run)
        finally:
            await self._http.close()

    async def drain(self) -> None:
        """Start a graceful stop: accept no new requests and start no new work."""
        if self._runtime is None or self._runtime.draining:
            return
        self._telemetry.log.info("draining", calls=len(self._calls))
        self._runtime.drain()
        self._server.drain()

    async def stop(self) -> bool:
        """Drain the host and return whether it was drained within 30 s."""
        await self.drain()
        async with curio.ignore_after(DRAIN_TIMEOUT_S) as limit:
            while not self._is_drained():
                await curio.sleep(DRAIN_POLL_S)
        self._telemetry.log.info(
            "stopped", in_time=not limit.expired, calls=len(self._calls)
        )
        return not limit.expired

    def _count_traffic(self) -> dict[str, int]:
        """Return the number of bytes exchanged as a client and as a server."""
        client, server = self._http.traffic, self._server.traffic
        return {
            "client_sent": client.sent,
            "client_received": client.received,
            "server_sent": server.sent,
            "server_received": server.received,
        }

    def _is_drained(self) -> bool:
        if self._runtime is None:
            return True
        if self._calls or self._server.in_flight:
            return False
        return self._runtime.is_drained

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        assert self._api is not None
        return await self._api.handle(request)

    async def _close_idle_connections(self) -> None:
        while True:
            await curio.sleep(CLOSE_IDLE_INTERVAL_S)
            await self._http.close_idle()
            self._telemetry.metrics.gauge(
                "http.held_bytes", self._guard.budget.used_bytes
            )

    def _record_closure(self, closed: ClosedConnection) -> None:
        self._telemetry.metrics.count(f"http.closed_{closed.reason.value}")
        unlogged = self._closure_log.record(closed.reason, time.monotonic())
        if unlogged is not None:
            self._telemetry.log.warning(
                "connection_closed", **closed.log_fields(), unlogged=unlogged
            )


def _server_settings(settings: DaemonSettings) -> HttpServerSettings:
    listen = settings.listen
    return HttpServerSettings(
        listen.ip,
        listen.port,
        max_body=listen.max_body,
        max_connections=listen.max_connections,
        read_s=listen.read_ms / 1_000,
        large_body_prefix=PEER_PREFIX,
    )


def _budget_limits(settings: DaemonSettings) -> BudgetLimits:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return BudgetLimits(
        max_bytes=settings.listen.max_held,
        max_connections=settings.listen.max_connections,
        max_descriptor=max(descriptors // 2, descriptors - FREE_DESCRIPTORS),
    )
