"""Entries of the journal. Times are in milliseconds on the writer's clock."""

from typing import NamedTuple

from marigoldpath_core.requests import Answer, OutcomeKind, Request, RequestKey


class Accepted(NamedTuple):
    """A request is accepted."""

    request: Request
    accepted_ms: int


class Intent(NamedTuple):
    """One start of a request is about to be sent to a worker.

    `tasks` are ids of one attempt at one request. A gang has one intent for each
    worker, all with the same attempt. `incarnation` and `clock_ms` are the worker's
    when the intent was made: a later leader that finds the same incarnation within
    the time that workers keep answers knows whether the start took place.
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
    """A caller cancelled a request; `Finished` follows when its tasks have ended."""

    key: RequestKey
    cancelled_ms: int = 0


class EpochBegun(NamedTuple):
    """A new leader writes from here on."""

    epoch: int
    host: str
    began_ms: int = 0


class Snapshot(NamedTuple):
    """An object holds the state after the rows up to `sequence`."""

    object_key: str
    sequence: int


Entry = Accepted | Intent | Finished | Cancelled | EpochBegun | Snapshot
