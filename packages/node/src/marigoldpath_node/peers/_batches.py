"""Sends items to peers; those that come while a POST is in flight share the next."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from marigoldpath_core.settings import DaemonSettings

from ..http import HttpClient, HttpError, NotSentError

MAX_ITEMS = 500
MAX_BYTES = 4_194_304
MAX_WAITING = 20_000


class PeerReplyError(Exception):
    """The peer may have read the message, and no usable reply came."""


class PeerUnavailableError(Exception):
    """Nothing was sent: no connection to the peer, or too much waits for it."""


class Parcel:
    """An item for a peer; `weight` is about its size in bytes."""

    def __init__(self, value: Any, weight: int) -> None:
        self.value = value
        self.weight = weight
        self.taken = False
        self.abandoned = False
        self.reply: Any = None
        self.error: Exception | None = None
        self.ended = curio.Event()


Post = Callable[[list[Any]], Awaitable[Any]]


class BatchSender:
    """Sends parcels to one route of one peer, one POST at a time."""

    def __init__(self, post: Post) -> None:
        self._post = post
        self._waiting: deque[Parcel] = deque()
        self._sending = False

    @property
    def idle(self) -> bool:
        """Whether nothing waits or is in flight."""
        return not self._sending and not self._waiting

    async def send(self, parcel: Parcel) -> Any:
        """Return the reply to the POST that held the parcel.

        Raises PeerUnavailableError when the peer cannot have read it, else
        PeerReplyError.
        A parcel whose sender is cancelled before it is taken is not sent.
        """
        if len(self._waiting) >= MAX_WAITING:
            raise PeerUnavailableError(f"{MAX_WAITING} messages wait for the peer")
        self._waiting.append(parcel)
        if not self._sending:
            self._sending = True
            await curio.spawn(self._send_all, daemon=True)
        try:
            await parcel.ended.wait()
        except BaseException:
            parcel.abandoned = True
            raise
        if parcel.error is not None:
            raise parcel.error
        return parcel.reply

    async def _send_all(self) -> None:
        try:
            while self._waiting:
                batch = self._take()
                if batch:
                    await self._send_batch(batch)
        finally:
            self._sending = False

    def _take(self) -> list[Parcel]:
        batch: list[Parcel] = []
        size = 0
        while self._waiting and len(batch) < MAX_ITEMS:
            size += self._waiting[0].weight
            if batch and size > MAX_BYTES:
                break
            parcel = self._waiting.popleft()
            if not parcel.abandoned:
                parcel.taken = True
                batch.append(parcel)
        return batch

    async def _send_batch(self, batch: list[Parcel]) -> None:
        reply = None
        error: Exception | None = None
        try:
            reply = await self._post([parcel.value for parcel in batch])
        except (PeerUnavailableError, PeerReplyError) as fault:
            error = fault
        for parcel in batch:
            parcel.reply = reply
            parcel.error = error
            await parcel.ended.set()


class EntryHostClient:
    """Senders by peer and route, and single messages to peers."""

    def __init__(self, settings: DaemonSettings, http: HttpClient) -> None:
        self._settings = settings
        self._http = http
        self._senders: dict[tuple[str, ...], BatchSender] = {}
        self._headers = _peer_headers(settings)

    async def batch(
        self,
        address: str,
        target: str,
        parcel: Parcel,
        encode: Callable[[list[Any]], Any],
        subject: str = "",
    ) -> Any:
        """Send a parcel with others to the same address, target and subject."""
        key = (address, target, subject)
        sender = self._senders.get(key)
        if sender is None:

            async def post(values: list[Any]) -> Any:
                return await self.post(address, target, encode(values))

            sender = self._senders[key] = BatchSender(post)
        try:
            return await sender.send(parcel)
        finally:
            if sender.idle and self._senders.get(key) is sender:
                del self._senders[key]

    async def post(
        self, address: str, target: str, value: Any, reply_s: float | None = None
    ) -> Any:
        """Return the decoded reply; raises PeerUnavailableError or PeerReplyError."""
        if reply_s is None:
            reply_s = self._settings.routing.reply_ms / 1_000
        try:
            response = await self._http.request(
                "POST",
                address,
                target,
                value=value,
                headers=self._headers,
                reply_s=reply_s,
            )
        except NotSentError as fault:
            raise PeerUnavailableError(str(fault)) from fault
        except HttpError as fault:
            raise PeerReplyError(str(fault)) from fault
        if response.status != 200:
            raise PeerReplyError(f"{address}{target} answered {response.status}")
        try:
            return response.json()
        except ValueError as fault:
            raise PeerReplyError(f"{address}{target}: {fault}") from fault


def _peer_headers(settings: DaemonSettings) -> dict[str, str]:
    """Return the headers of messages to peers, which have the same operators' keys."""
    for key in settings.keys:
        if key.role == "operator":
            return {"authorization": f"Bearer {key.key}"}
    return {}
