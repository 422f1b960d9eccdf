"""Send a trace to the entry hosts round-robin, as the platform's balancer would."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import curio

from marigoldpath_bench.deployment import Deployment
from marigoldpath_bench.server import now_ms
from marigoldpath_bench.trace import TraceItem
from marigoldpath_node.http import (
    HttpClient,
    HttpClientSettings,
    HttpError,
    NotSentError,
)

from ._call import Call, CallResult, Step, StepKind

REPLY_MARGIN_S = 2.0
STATE_REPLY_TIMEOUT_S = 2.0
CANCELLATION_CONFIRMED = (200, "cancelled")


class LoadSettings(NamedTuple):
    """Entry hosts' addresses, each team's key and the kinds of long-running work."""

    addresses: tuple[str, ...]
    keys: dict[str, str]
    standing_kinds: frozenset[str] = frozenset()


def load_settings(deployment: Deployment, addresses: list[str]) -> LoadSettings:
    """Return the settings for the callers of a deployment."""
    return LoadSettings(
        tuple(addresses),
        {key.team: key.key for key in deployment.keys if key.team},
        frozenset(kind.name for kind in deployment.kinds if kind.standing),
    )


class LoadClient:
    """Open-loop client that sends each request at its offset in the trace."""

    def __init__(self, settings: LoadSettings) -> None:
        self._settings = settings
        self._client = HttpClient(
            HttpClientSettings(connect_s=1.0, max_idle_connections=64)
        )
        self._next_address = 0
        self._results: list[CallResult] = []

    @property
    def results(self) -> list[CallResult]:
        """The results of the requests that have an outcome so far."""
        return self._results

    async def run(self, trace: Iterable[TraceItem]) -> list[CallResult]:
        """Send all requests and return their results."""
        started_ms = now_ms()
        async with curio.TaskGroup() as tasks:
            for item in trace:
                left_ms = started_ms + item.at_ms - now_ms()
                if left_ms > 0:
                    await curio.sleep(left_ms / 1_000)
                await tasks.spawn(self._run_call, item)
        return self._results

    async def cancel(self, result: CallResult) -> tuple[int, str]:
        """Cancel a request; return the status and code of the last reply.

        The cancellation is sent to one entry host after the other until one confirms
        it. Status 0 means no reply. The reply for a request that had an outcome already
        contains this outcome and is no confirmation.
        """
        status, code = 0, ""
        for _ in self._settings.addresses:
            status, reply = await self._send("DELETE", result.name, result.request)
            code = str(reply.get("code", ""))
            if (status, code) == CANCELLATION_CONFIRMED:
                break
        return status, code

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _run_call(self, item: TraceItem) -> None:
        is_long_running = item.request["kind"] in self._settings.standing_kinds
        call = Call(item.request, now_ms(), is_long_running)
        step = Step(StepKind.SUBMIT)
        while step.kind is not StepKind.FINISH:
            if step.delay_ms:
                await curio.sleep(step.delay_ms / 1_000)
            if step.kind is StepKind.SUBMIT:
                step = await self._submit(call, item.request)
            else:
                reply = await self._send("GET", call.name, item.request)
                step = call.on_state_reply(now_ms(), *reply)
        self._results.append(call.result())

    async def _submit(self, call: Call, request: Any) -> Step:
        left_s = max(0, call.deadline_ms - now_ms()) / 1_000
        try:
            response = await self._client.request(
                "POST",
                self._address(),
                "/v1/requests",
                value=request,
                headers=self._headers(request),
                reply_s=left_s + REPLY_MARGIN_S,
            )
            return call.on_reply(now_ms(), response.status, response.json())
        except NotSentError:
            return call.on_not_sent(now_ms())
        except (HttpError, ValueError):
            return call.on_reply_lost(now_ms())

    async def _send(
        self, method: str, name: str, request: Any
    ) -> tuple[int, dict[str, Any]]:
        """Send a query or cancellation; return status (0 without reply) and body."""
        try:
            response = await self._client.request(
                method,
                self._address(),
                f"/v1/requests/{name}",
                headers=self._headers(request),
                reply_s=STATE_REPLY_TIMEOUT_S,
            )
            return response.status, response.json() if response.body else {}
        except (HttpError, ValueError):
            return 0, {}

    def _address(self) -> str:
        addresses = self._settings.addresses
        self._next_address = (self._next_address + 1) % len(addresses)
        return addresses[self._next_address]

    def _headers(self, request: Any) -> dict[str, str]:
        return {"authorization": f"Bearer {self._settings.keys[request['team']]}"}
