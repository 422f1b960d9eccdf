"""Sends requests to entry hosts, with failover to the next one."""

from typing import Any

import curio

from marigoldpath_node.http import (
    HttpClient,
    HttpClientSettings,
    HttpResponse,
    NotSentError,
    ReplyLostError,
)

from ._config import ENTRY_VARIABLE, ClientConfig
from ._errors import CommandError, OutcomeUnknownError, RefusedError
from ._exit_codes import ExitCode

EXIT_CODE_BY_STATUS = {
    401: ExitCode.DENIED,
    403: ExitCode.DENIED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    422: ExitCode.FAULTS,
}


class EntryClient:
    """Sends an operator's requests, first to the entry host that replied last."""

    def __init__(self, config: ClientConfig) -> None:
        if not config.entries:
            raise CommandError(
                ExitCode.WRONG_USE,
                f"no entry host is given: use --entry IP:PORT or set {ENTRY_VARIABLE}",
            )
        self._config = config
        self._entries = list(config.entries)
        self._http = HttpClient(HttpClientSettings(reply_s=config.reply_s))

    async def __aenter__(self) -> "EntryClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._http.close()

    async def call(
        self, method: str, target: str, value: Any = None, *, repeatable: bool = True
    ) -> dict[str, Any]:
        """Return the JSON object from the first entry host that replies.

        Raises RefusedError for an error reply. Raises OutcomeUnknownError if the reply
        was lost and the request may have run; a request that is not `repeatable` is
        not sent again in this case.
        """
        causes = []
        may_have_run = False
        refusal: RefusedError | None = None
        for _ in range(len(self._entries)):
            address = self._entries[0]
            try:
                response = await self._send(method, address, target, value)
                return _decode_reply(address, response)
            except NotSentError:
                causes.append(f"{address} cannot be reached")
            except ReplyLostError:
                if not repeatable:
                    message = f"{address} did not answer after the request was sent"
                    raise OutcomeUnknownError(message) from None
                causes.append(f"{address} did not answer")
                may_have_run = may_have_run or method != "GET"
            except RefusedError as error:
                # Try the next entry host only if this one did not run the request.
                unavailable = error.payload.get("http_status") == 503
                if not unavailable or error.payload.get("outcome") == "unknown":
                    raise
                refusal = error
            self._entries.append(self._entries.pop(0))
        if may_have_run:
            raise OutcomeUnknownError("; ".join(causes))
        if refusal is not None:
            raise refusal
        raise CommandError(ExitCode.UNREACHABLE, "; ".join(causes))

    async def call_all(
        self, method: str, target: str
    ) -> dict[str, dict[str, Any] | CommandError]:
        """Return the reply or the error of each entry host by address.

        Raises CommandError if no entry host replies.
        """
        replies: dict[str, dict[str, Any] | CommandError] = {}

        async def call_entry_host(address: str) -> None:
            try:
                response = await self._send(method, address, target, None)
                replies[address] = _decode_reply(address, response)
            except NotSentError:
                message = f"{address} cannot be reached"
                replies[address] = CommandError(ExitCode.UNREACHABLE, message)
            except ReplyLostError:
                message = f"{address} did not answer"
                replies[address] = CommandError(ExitCode.UNREACHABLE, message)
            except CommandError as error:
                replies[address] = error

        async with curio.TaskGroup() as tasks:
            for address in self._config.entries:
                await tasks.spawn(call_entry_host, address)
        errors = [
            reply for reply in replies.values() if isinstance(reply, CommandError)
        ]
        if len(errors) == len(replies):
            raise CommandError(errors[0].exit_code, "; ".join(map(str, errors)))
        return {address: replies[address] for address in self._config.entries}

    async def call_one(
        self, method: str, address: str, target: str, value: Any = None
    ) -> dict[str, Any]:
        """Return the reply of one entry host, without failover; raises CommandError."""
        try:
            return _decode_reply(
                address, await self._send(method, address, target, value)
            )
        except NotSentError:
            message = f"{address} cannot be reached"
            raise CommandError(ExitCode.UNREACHABLE, message) from None
        except ReplyLostError:
            raise OutcomeUnknownError(f"{address} did not answer") from None

    async def _send(
        self, method: str, address: str, target: str, value: Any
    ) -> HttpResponse:
        headers = {}
        if self._config.key:
            headers["authorization"] = f"Bearer {self._config.key}"
        return await self._http.request(
            method, address, target, value=value, headers=headers
        )


def integer_field(payload: dict[str, Any], name: str, default: int) -> int:
    """Return the integer `name` of a reply; raises CommandError for another type."""
    value = payload.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        message = f"the entry host's answer has no whole number as {name}"
        raise CommandError(ExitCode.FAILED, message)
    return value


def object_list(payload: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return the JSON objects in the list `name` of a reply."""
    value = payload.get(name)
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, dict)]


def _decode_reply(address: str, response: HttpResponse) -> dict[str, Any]:
    try:
        payload = response.json()
    except ValueError:
        payload = None
    if not isinstance(payload, dict):
        message = f"{address} answered {response.status} without a JSON object"
        raise CommandError(ExitCode.FAILED, message)
    if response.status < 400:
        return payload
    code = EXIT_CODE_BY_STATUS.get(response.status, ExitCode.FAILED)
    if payload.get("outcome") == "unknown":
        code = ExitCode.UNKNOWN
    message = str(payload.get("message") or f"{address} answered {response.status}")
    raise RefusedError(code, message, {**payload, "http_status": response.status})
