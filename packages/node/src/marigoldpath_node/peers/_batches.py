"""HTTP client for peers; items queued during a POST are sent together in the next."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from marigoldpath_core.settings import DaemonSettings

from ..http import HttpClient, HttpError, NotSentError

MAX_BATCH_ITEMS = 500
MAX_BATCH_BYTES = 4_194_304
MAX_QUEUED_ITEMS = 20_000


class PeerReplyError(Exception):
    """The peer may have received the message, but no valid reply arrived."""


class PeerUnavailableError(Exception):
    """Nothing was sent: the peer is unreachable or its queue is full."""


class BatchItem:
    """An item for a peer; `size_bytes` is its approximate encoded size.

    `is_posted` is set once a POST contains the item, `is_abandoned` when its sender
    no longer waits.
    """

    def __init__(self, value: Any, size_bytes: int) -> None:
        self.value = value
        self.size_bytes = size_bytes
        self.is_posted = False
        self.is_abandoned = False
        self.reply: Any = None
        self.error: Exception | None = None
        self.completed = curio.Event()


Post = Callable[[list[Any]], Awaitable[Any]]


class BatchSender:
    """Sends items to one route of one peer, one POST at a time."""

    def __init__(self, post: Post) -> None:
        self._post = post
        self._queue: deque[BatchItem] = deque()
        self._sending = False

    @property
    def idle(self) -> bool:
        """Whether nothing is queued or in flight."""
        return not self._sending and not self._queue

    async def send(self, item: BatchItem) -> Any:
        """Queue an item and return the reply to the POST that contained it.

        Raise PeerUnavailableError if the peer cannot have received the item, and
        PeerReplyError if it may have. An item whose sender is cancelled before the POST
        begins is not sent.
        """
        if len(self._queue) >= MAX_QUEUED_ITEMS:
            raise PeerUnavailableError(f"{MAX_QUEUED_ITEMS} messages wait for the peer")
        self._queue.append(item)
        if not self._sending:
            self._sending = True
            await curio.spawn(self._send_all, daemon=True)
        try:
            await item.completed.wait()
        except BaseException:
            item.is_abandoned = True
            raise
        if item.error is not None:
            raise item.error
        return item.reply

    async def _send_all(self) -> None:
        try:
            while self._queue:
                batch = self._next_batch()
                if batch:
                    await self._send_batch(batch)
        finally:
            self._sending = False

    def _next_batch(self) -> list[BatchItem]:
        batch: list[BatchItem] = []
        size = 0
        while self._queue and len(batch) < MAX_BATCH_ITEMS:
            size += self._queue[0].size_bytes
            if batch and size > MAX_BATCH_BYTES:
                break
            item = self._queue.popleft()
            if not item.is_abandoned:
                item.is_posted = True
                batch.append(item)
        return batch

    async def _send_batch(self, batch: list[BatchItem]) -> None:
        reply = None
        failure: Exception | None = None
        try:
            reply = await self._post([item.value for item in batch])
        except (PeerUnavailableError, PeerReplyError) as error:
            failure = error
        for item in batch:
            item.reply = reply
            item.error = failure
            await item.completed.set()


class EntryHostClient:
    """Posts messages to other entry hosts, singly or batched by host and route."""

    def __init__(self, settings: DaemonSettings, http: HttpClient) -> None:
        self._settings = settings
        self._http = http
        self._senders: dict[tuple[str, ...], BatchSender] = {}
        self._headers = _peer_headers(settings)

    async def post_batched(
        self,
        address: str,
        target: str,
        item: BatchItem,
        encode: Callable[[list[Any]], Any],
        group: str = "",
    ) -> Any:
        """Send an item with others to the same address, target and group."""
        key = (address, target, group)
        sender = self._senders.get(key)
        if sender is None:

            async def post(values: list[Any]) -> Any:
                return await self.post(address, target, encode(values))

            sender = self._senders[key] = BatchSender(post)
        try:
            return await sender.send(item)
        finally:
            if sender.idle and self._senders.get(key) is sender:
                del self._senders[key]

    async def post(
        self, address: str, target: str, value: Any, reply_s: float | None = None
    ) -> Any:
        """Return the decoded reply; raise PeerUnavailableError or PeerReplyError."""
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
        except NotSentError as error:
            raise PeerUnavailableError(str(error)) from error
        except HttpError as error:
            raise PeerReplyError(str(error)) from error
        if response.status != 200:
            raise PeerReplyError(f"{address}{target} answered {response.status}")
        try:
            return response.json()
        except ValueError as error:
            raise PeerReplyError(f"{address}{target}: {error}") from error


def _peer_headers(settings: DaemonSettings) -> dict[str, str]:
    """Return the headers for peers, which all accept the same operator keys."""
    for key in settings.keys:
        if key.role == "operator":
            return {"authorization": f"Bearer {key.key}"}
    return {}
