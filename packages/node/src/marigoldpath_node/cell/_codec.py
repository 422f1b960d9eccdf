"""JSON encoding of a cell's stored rows and of the messages between entry hosts."""

import json
from typing import Any, NamedTuple, TypedDict

from marigoldpath_core.fleet import EndedLeaders, RosterEntry
from marigoldpath_core.jobs import (
    AcceptedJob,
    AdvicePolicy,
    JobSpec,
    Queue,
    Resources,
    StepSpec,
)


class JobData(TypedDict):
    """A stored job; fields of its steps that have their default value are omitted."""

    id: str
    payload: str
    steps: list[dict[str, Any]]
    timing: list[int]
    queue: list[Any]
    epoch: int
    accepted_ms: int
    zone: str
    workspace: str


class LeaderRow(NamedTuple):
    """The row that identifies the leader.

    `token` identifies one incarnation of a process, and `beat` is a counter that each
    commit increments. `cores` is the processor capacity of the leader's host, 0 if it
    is unknown. A leader that releases the leadership sets `released`, and `successor`
    to the address of the preferred next leader. `ended` is what the leader knows of the
    earlier ones. `unreachable_terms` is the number of terms in a row that were released
    without ever having had a majority of the workers.
    """

    epoch: int
    address: str
    token: str
    beat: int = 0
    released: bool = False
    successor: str = ""
    cores: float = 0.0
    ended: tuple[EndedLeaders, ...] = ()
    unreachable_terms: int = 0


class Term(NamedTuple):
    """A term of leadership: the leader's row and its version in the store.

    `written_s` is the time on this host's clock at which the write of the row was sent,
    or 0 if it is not known.
    """

    row: LeaderRow
    version: int
    written_s: float = 0.0


def encode_job(job: AcceptedJob) -> bytes:
    """Encode a job for the store."""
    spec = job.spec
    data: JobData = {
        "id": spec.job_id,
        "payload": spec.payload,
        "steps": [_encode_step(step) for step in spec.steps],
        "timing": [spec.occurrences, spec.start_ms, spec.interval_ms],
        "queue": [*job.queue],
        "epoch": job.epoch,
        "accepted_ms": job.accepted_ms,
        "zone": job.zone,
        "workspace": job.workspace,
    }
    return to_json(data)


def decode_job(value: bytes) -> AcceptedJob:
    """Decode a stored job."""
    data: JobData = json.loads(value)
    steps = tuple(
        StepSpec(
            **{
                **step,
                "need": Resources(*step["need"]),
                "after": tuple(step.get("after", ())),
            }
        )
        for step in data["steps"]
    )
    spec = JobSpec(data["id"], data["payload"], steps, *data["timing"])
    policy = Queue(*data["queue"])
    if policy.advice is not None:
        policy = policy._replace(advice=AdvicePolicy(*policy.advice))
    # Rows written by earlier versions have no zone and no workspace.
    zone = data.get("zone", "")
    workspace = data.get("workspace", "")
    return AcceptedJob(
        spec, policy, data["epoch"], data["accepted_ms"], zone, workspace
    )


def encode_leader(row: LeaderRow) -> bytes:
    """Encode the leader's row for the store."""
    return to_json(row._asdict())


def decode_leader(value: bytes) -> LeaderRow:
    """Decode the stored leader's row; fields of later versions are ignored."""
    data: dict[str, Any] = json.loads(value)
    row = LeaderRow(**{name: data[name] for name in LeaderRow._fields if name in data})
    return row._replace(ended=tuple(EndedLeaders(*each) for each in row.ended))


def encode_roster(roster: dict[str, RosterEntry]) -> bytes:
    """Encode a roster for the store.

    Hosts of an earlier build read an entry without `unleased_since` only.
    """
    length = len(RosterEntry._fields)
    return to_json(
        {
            worker_id: entry[: length if entry.unleased_since else length - 1]
            for worker_id, entry in roster.items()
        }
    )


def decode_roster(value: bytes) -> dict[str, RosterEntry]:
    """Decode a stored roster."""
    data: dict[str, list[Any]] = json.loads(value)
    return {
        worker_id: RosterEntry(address, None if jobs is None else tuple(jobs), *others)
        # Rows written by earlier versions have fewer fields.
        for worker_id, (address, jobs, *others) in data.items()
    }


def from_json(value: bytes) -> Any:
    """Decode JSON."""
    return json.loads(value)


def to_json(value: Any) -> bytes:
    """Encode a value as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def _encode_step(step: StepSpec) -> dict[str, Any]:
    defaults = StepSpec._field_defaults
    return {
        name: value
        for name, value in step._asdict().items()
        if name not in defaults or value != defaults[name]
    }
