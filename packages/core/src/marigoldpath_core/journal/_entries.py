"""Entries of the journal; times are in milliseconds on the writer's clock."""

from typing import NamedTuple

from marigoldpath_core.requests import Answer, OutcomeKind, Request, RequestKey


class Accepted(NamedTuple):
    """The zone has accepted a request."""

    request: Request
    accepted_ms: int


class Intent(NamedTuple):
    """The leader is about to send a start command to a worker.

    `tasks` holds task ids of one attempt of one request. A gang has one intent for each
    worker, all with the same attempt. `incarnation` and `clock_ms` are those of the
    worker when the intent was created. With them a later leader can find out whether
    the tasks were started: the worker's report shows it if the worker still has the
    same incarnation and the time for which workers retain answers has not passed.
    """

    tasks: tuple[str, ...]
    worker: str
    incarnation: str = ""
    clock_ms: int = 0


class Finished(NamedTuple):
    """A request has its final outcome."""

    key: RequestKey
    outcome: OutcomeKind
    answer: Answer | None = None
    finished_ms: int = 0


class Cancelled(NamedTuple):
    """A caller cancelled a request; `Finished` follows once its tasks terminate."""

    key: RequestKey
    cancelled_ms: int = 0


class EpochBegun(NamedTuple):
    """A new leader begins its epoch; its first row contains this entry."""

    epoch: int
    host: str
    began_ms: int = 0


class Snapshot(NamedTuple):
    """A reference to an object with the state after all rows up to `sequence`."""

    object_key: str
    sequence: int


Entry = Accepted | Intent | Finished | Cancelled | EpochBegun | Snapshot
