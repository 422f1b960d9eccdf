"""HTTP calls between the entry hosts of a cell."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

from marigoldpath_core.jobs import AcceptedJob, JobState, TaskKey
from marigoldpath_core.registry import Registry
from marigoldpath_node.http import (
    ConnectionRefusedByPeerError,
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    NotSentError,
    decode_json,
    json_response,
)

from ._codec import decode_job, encode_job

PATH_PREFIX = "/v1/cell/"
NOT_LEADING_STATUS = 409


class PeerError(Exception):
    """A call to a peer failed, or its reply was not as expected."""


class PeerUnreachableError(PeerError):
    """The connection to a peer could not be established."""


class PeerRefusedError(PeerUnreachableError):
    """The peer's host refused the connection: no process listens at the address."""


class NotLeadingError(PeerError):
    """The peer replied that it is not the leader."""


class LeaderStatus(NamedTuple):
    """The status of an entry host as reported to its peers.

    `epoch` is 0 while the host is not the leader. `token` identifies the incarnation of
    the process, and `store_age_s` is that of `Leader`: the seconds since its last
    commit. `pending` is the number of jobs that have not started, keyed by queue.
    `can_order` is whether the leader may send commands. It must not send any while it
    reaches neither the store nor a majority of the workers.

    A leader asks each follower to report its status every `status_interval_s`.
    `writers` are addresses of followers that reach the store and can store a job for a
    host that does not. `starts_backlog_ms` and `work_backlog_ms` are the fields of the
    leader's `Backlog`. `limited_workspaces` is that of `JobsSummary`.
    """

    epoch: int
    token: str
    store_age_s: float
    pending: dict[str, int]
    can_order: bool = True
    status_interval_s: float = 0.3
    writers: tuple[str, ...] = ()
    starts_backlog_ms: dict[str, int] = {}  # noqa: RUF012
    work_backlog_ms: dict[str, int] = {}  # noqa: RUF012
    limited_workspaces: dict[str, int] = {}  # noqa: RUF012


class FollowerStatus(NamedTuple):
    """The status that a follower reports to the leader.

    The leader can send advice requests through the follower or transfer the leadership
    to it. `started_s` is the number of seconds since the host's process started, and
    `cores` is the processor capacity of the host. A host without `has_store` does not
    reach the store or is stopping: it can send advice requests but cannot lead.
    """

    address: str
    started_s: float
    cores: float = 1.0
    has_store: bool = True


Status = TypeVar("Status", LeaderStatus, FollowerStatus)
# The JSON types of the fields of a status. A bool is an int and a list a tuple, as far
# as their use is concerned.
STATUS_FIELD_TYPES: dict[Any, tuple[type, ...]] = {
    int: (int,),
    float: (int, float),
    bool: (bool,),
    str: (str,),
    dict[str, int]: (dict,),
    tuple[str, ...]: (list, tuple),
}


class PeerClient:
    """Calls other entry hosts. Each method raises PeerError if its call fails."""

    def __init__(self, client: HttpClient, reply_s: float) -> None:
        self._client = client
        self._reply_s = reply_s

    async def exchange_status(
        self, address: str, own_status: FollowerStatus
    ) -> LeaderStatus:
        """Send this host's status to the process at `address` and return its status."""
        data = await self._call(address, "view", own_status._asdict())
        try:
            return decode_status(LeaderStatus, data)
        except TypeError as error:
            raise PeerError(f"bad status of {address}: {error}") from error

    async def send_job(self, address: str, job: AcceptedJob) -> None:
        """Send a stored job to the leader."""
        await self._call(address, "job", {"job": encode_job(job).decode()})

    async def request_check(self, address: str) -> None:
        """Request that the host at `address` checks its leader at once."""
        await self._call(address, "check", {})

    async def send_cancellation(self, address: str, job_id: str) -> None:
        """Send a stored cancellation to the leader."""
        await self._call(address, "cancel", {"job": job_id})

    async def store_job(self, address: str, job: AcceptedJob) -> str:
        """Request that the host at `address` stores a job.

        Return the value of the `SubmissionOutcome`. Raises NotLeadingError if the host
        does not reach the store, so it has stored nothing.
        """
        data = {"job": encode_job(job).decode()}
        return _require_field(await self._call(address, "store-job", data), "outcome")

    async def state(self, address: str, job_id: str) -> JobState | None:
        """Return the state of a job from the leader, or None if the job is unknown."""
        state = _require_field(
            await self._call(address, "state", {"job": job_id}), "state"
        )
        try:
            return JobState(state) if state else None
        except ValueError as error:
            raise PeerError(f"bad state of {address}: {error}") from error

    async def pending(self, address: str) -> dict[str, int]:
        """Return the leader's count of jobs that have not started, keyed by queue."""
        return _require_field(await self._call(address, "pending", {}), "pending")

    async def request_advice(
        self, address: str, step: TaskKey, workers: tuple[str, ...], cost_ms: float
    ) -> dict[str, str] | None:
        """Request that a peer sends an advice request.

        Return the tickets of the approved workers, or None if the peer got no reply.
        `cost_ms` is the expected duration of the request.
        """
        data = {"step": list(step), "workers": list(workers), "cost_ms": cost_ms}
        reply_s = self._reply_s + 3 * cost_ms / 1000
        return _require_field(
            await self._call(address, "advice", data, reply_s), "tickets"
        )

    async def relay_commands(
        self, address: str, data: dict[str, Any]
    ) -> tuple[bool, list[list[Any]]]:
        """Send commands for workers to a relay.

        Return whether it executes them, and the replies to earlier commands as from
        `take_relayed_replies`.
        """
        reply = await self._call(address, "relay", data)
        # A relay of an earlier build returns the replies only when they are taken.
        return _require_field(reply, "accepted"), reply.get("replies", [])

    async def take_relayed_replies(
        self, address: str, session: str, wait_s: float
    ) -> list[list[Any]]:
        """Return the replies to relayed commands, each as number, age in ms and reply.

        The relay waits up to `wait_s` for a reply.
        """
        data = {"session": session, "wait_s": wait_s}
        return _require_field(
            await self._call(address, "replies", data, wait_s + self._reply_s),
            "replies",
        )

    async def _call(
        self, address: str, name: str, data: Any, reply_s: float | None = None
    ) -> Any:
        try:
            response = await self._client.request(
                "POST",
                address,
                PATH_PREFIX + name,
                value=data,
                reply_s=reply_s or self._reply_s,
            )
            if response.status == NOT_LEADING_STATUS:
                raise NotLeadingError(f"{address} is not the leader")
            if response.status != 200:
                raise PeerError(f"{address} replied {response.status} to {name}")
            return _require_object(response.json())
        except ConnectionRefusedByPeerError as error:
            raise PeerRefusedError(str(error)) from error
        except NotSentError as error:
            raise PeerUnreachableError(str(error)) from error
        except (HttpError, ValueError) as error:
            raise PeerError(str(error)) from error


def decode_status(kind: type[Status], data: dict) -> Status:
    """Return the status in a message; fields of later versions are ignored.

    Raises TypeError if `data` is not an object, if a required field is missing, or if a
    field has another type.
    """
    if not isinstance(data, dict):
        raise TypeError(f"a status must be an object, not {type(data).__name__}")
    fields = {name: data[name] for name in kind._fields if name in data}
    for name, value in fields.items():
        expected = STATUS_FIELD_TYPES[kind.__annotations__[name]]
        if not isinstance(value, expected):
            raise TypeError(f"{name} must not be {value!r}")
    return kind(**fields)


def _require_field(data: dict, name: str) -> Any:
    if name not in data:
        raise PeerError(f"a reply has no {name}")
    return data[name]


def _require_object(data: Any) -> dict:
    if not isinstance(data, dict):
        raise ValueError(f"a reply must be an object, not {type(data).__name__}")
    return data


PeerRoute = Callable[[Any, dict], Awaitable[dict | None]]
peer_routes: Registry[str, PeerRoute] = Registry("peer call")


async def serve_peer(host: Any, request: HttpRequest) -> HttpResponse:
    """Serve a request of a peer; `host` is passed to the route's function.

    A route returns None if only another host can serve the request.
    """
    try:
        path = request.path
    except ValueError as error:
        return json_response(400, {"message": f"bad target: {error}"})
    name = path.removeprefix(PATH_PREFIX)
    if request.method != "POST" or name not in peer_routes:
        return json_response(404, {"message": f"no peer call {path}"})
    try:
        data = decode_json(request.body)
        reply = await peer_routes.get(name)(host, data)
    except (KeyError, TypeError, ValueError) as error:
        return json_response(400, {"message": f"bad body of {name}: {error!r}"})
    if reply is None:
        return json_response(NOT_LEADING_STATUS, {"message": "this host does not lead"})
    return json_response(200, reply)


def decode_job_body(data: dict) -> AcceptedJob:
    """Decode the job in the body of a peer's request.

    Raises ValueError.
    """
    try:
        return decode_job(data["job"].encode())
    except (AttributeError, IndexError, KeyError, RecursionError, TypeError) as error:
        raise ValueError(f"no valid job: {error!r}") from error


__all__ = [
    "FollowerStatus",
    "LeaderStatus",
    "NotLeadingError",
    "PeerClient",
    "PeerError",
    "PeerRefusedError",
    "PeerUnreachableError",
    "decode_job_body",
    "decode_status",
    "peer_routes",
    "serve_peer",
]
