"""Calls entry hosts, the next one when one is gone."""

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
from ._errors import AnswerLostError, CommandError, RefusedError
from ._exit_codes import ExitCode

EXIT_CODES = {
    401: ExitCode.DENIED,
    403: ExitCode.DENIED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    422: ExitCode.FAULTS,
}


class EntryClient:
    """Sends an operator's requests and keeps to the entry host that answers."""

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
        """Return the JSON object that the first entry host to answer sends.

        A request that is not `repeatable` is not sent again after its answer was
        lost: AnswerLostError is raised. Raises RefusedError for an error answer.
        """
        causes = []
        lost = False
        refusal: RefusedError | None = None
        for _ in range(len(self._entries)):
            address = self._entries[0]
            try:
                response = await self._send(method, address, target, value)
                return _payload(address, response)
            except NotSentError:
                causes.append(f"{address} cannot be reached")
            except ReplyLostError:
                if not repeatable:
                    message = f"{address} did not answer after the request was sent"
                    raise AnswerLostError(message) from None
                causes.append(f"{address} did not answer")
                lost = lost or method != "GET"
            except RefusedError as fault:
                # Only an entry host that did nothing may be followed by the next.
                unavailable = fault.payload.get("http_status") == 503
                if not unavailable or fault.payload.get("outcome") == "unknown":
                    raise
                refusal = fault
            self._entries.append(self._entries.pop(0))
        if lost:
            raise AnswerLostError("; ".join(causes))
        if refusal is not None:
            raise refusal
        raise CommandError(ExitCode.UNREACHABLE, "; ".join(causes))

    async def call_all(
        self, method: str, target: str
    ) -> dict[str, dict[str, Any] | CommandError]:
        """Return the answer or the error of each entry host by address.

        Raises CommandError when none answers.
        """
        answers: dict[str, dict[str, Any] | CommandError] = {}

        async def ask(address: str) -> None:
            try:
                response = await self._send(method, address, target, None)
                answers[address] = _payload(address, response)
            except NotSentError:
                message = f"{address} cannot be reached"
                answers[address] = CommandError(ExitCode.UNREACHABLE, message)
            except ReplyLostError:
                message = f"{address} did not answer"
                answers[address] = CommandError(ExitCode.UNREACHABLE, message)
            except CommandError as fault:
                answers[address] = fault

        async with curio.TaskGroup() as tasks:
            for address in self._config.entries:
                await tasks.spawn(ask, address)
        faults = [a for a in answers.values() if isinstance(a, CommandError)]
        if len(faults) == len(answers):
            raise CommandError(faults[0].exit_code, "; ".join(map(str, faults)))
        return {address: answers[address] for address in self._config.entries}

    async def call_one(
        self, method: str, address: str, target: str, value: Any = None
    ) -> dict[str, Any]:
        """Return the answer of one entry host and no other; raises CommandError."""
        try:
            return _payload(address, await self._send(method, address, target, value))
        except NotSentError:
            message = f"{address} cannot be reached"
            raise CommandError(ExitCode.UNREACHABLE, message) from None
        except ReplyLostError:
            raise AnswerLostError(f"{address} did not answer") from None

    async def _send(
        self, method: str, address: str, target: str, value: Any
    ) -> HttpResponse:
        headers = {}
        if self._config.key:
            headers["authorization"] = f"Bearer {self._config.key}"
        return await self._http.request(
            method, address, target, value=value, headers=headers
        )


def whole_number(payload: dict[str, Any], name: str, default: int) -> int:
    """Return a number in an answer; raises CommandError when it is none."""
    value = payload.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        message = f"the entry host's answer has no whole number as {name}"
        raise CommandError(ExitCode.FAILED, message)
    return value


def objects(payload: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return the JSON objects in a list of an answer."""
    value = payload.get(name)
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, dict)]


def _payload(address: str, response: HttpResponse) -> dict[str, Any]:
    try:
        payload = response.json()
    except ValueError:
        payload = None
    if not isinstance(payload, dict):
        message = f"{address} answered {response.status} without a JSON object"
        raise CommandError(ExitCode.FAILED, message)
    if response.status < 400:
        return payload
    code = EXIT_CODES.get(response.status, ExitCode.FAILED)
    if payload.get("outcome") == "unknown":
        code = ExitCode.UNKNOWN
    message = str(payload.get("message") or f"{address} answered {response.status}")
    raise RefusedError(code, message, {**payload, "http_status": response.status})
