"""JSON of what a cell stores and of what its processes tell each other."""

import json
from typing import Any, NamedTuple, TypedDict

from marigoldpath_core.fleet import RosterEntry
from marigoldpath_core.jobs import (
    AcceptedJob,
    AdvicePolicy,
    JobSpec,
    JobState,
    Progress,
    Queue,
    Resources,
    StepSpec,
)


class JobData(TypedDict):
    """An accepted job as stored; defaults are left out of the steps."""

    id: str
    payload: str
    steps: list[dict[str, Any]]
    timing: list[int]
    queue: list[Any]
    epoch: int
    accepted_ms: int
    zone: str


class ProgressData(TypedDict, total=False):
    """The progress of a job as stored; keys are numbers joined by dots."""

    state: str
    done: dict[str, str]
    failures: dict[str, list[int]]
    checkpoints: dict[str, str]
    spread: bool


class LeaderRow(NamedTuple):
    """Who leads: `token` names one life of a process, `beat` rises with each commit.

    `cores` is the processor of the leader's host, 0 where it is not known.
    A leader that gives up sets `released` and names the host that should succeed it.
    """

    epoch: int
    address: str
    token: str
    beat: int = 0
    released: bool = False
    successor: str = ""
    cores: float = 0.0


class Term(NamedTuple):
    """A leader's row with its version in the store."""

    row: LeaderRow
    version: int


def encode_job(job: AcceptedJob) -> bytes:
    """Return the stored form of a job."""
    spec = job.spec
    data: JobData = {
        "id": spec.job_id,
        "payload": spec.payload,
        "steps": [_step_data(step) for step in spec.steps],
        "timing": [spec.occurrences, spec.start_ms, spec.interval_ms],
        "queue": [*job.queue],
        "epoch": job.epoch,
        "accepted_ms": job.accepted_ms,
        "zone": job.zone,
    }
    return to_json(data)


def decode_job(value: bytes) -> AcceptedJob:
    """Return a stored job."""
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
    # Rows of earlier versions have no zone.
    zone = data.get("zone", "")
    return AcceptedJob(spec, policy, data["epoch"], data["accepted_ms"], zone)


def encode_progress(progress: Progress) -> bytes:
    """Return the stored form of a job's progress."""
    data: ProgressData = {"state": progress.state.value}
    if progress.done:
        data["done"] = {_join(key): f"{mask:x}" for key, mask in progress.done.items()}
    if progress.failures:
        data["failures"] = {
            _join(key): [*runs] for key, runs in progress.failures.items()
        }
    if progress.checkpoints:
        data["checkpoints"] = {
            _join(key): text for key, text in progress.checkpoints.items()
        }
    if progress.may_leave_zone:
        data["spread"] = True
    return to_json(data)


def decode_progress(value: bytes) -> Progress:
    """Return the stored progress of a job."""
    data: ProgressData = json.loads(value)
    return Progress(
        JobState(data["state"]),
        {_pair(key): int(mask, 16) for key, mask in data.get("done", {}).items()},
        {_triple(key): tuple(runs) for key, runs in data.get("failures", {}).items()},
        {_triple(key): text for key, text in data.get("checkpoints", {}).items()},
        data.get("spread", False),
    )


def encode_leader(row: LeaderRow) -> bytes:
    """Return the stored form of the leader's row."""
    return to_json(row._asdict())


def decode_leader(value: bytes) -> LeaderRow:
    """Return the stored leader's row."""
    return LeaderRow(**json.loads(value))


def encode_roster(roster: dict[str, RosterEntry]) -> bytes:
    """Return the stored form of a roster."""
    return to_json(roster)


def decode_roster(value: bytes) -> dict[str, RosterEntry]:
    """Return a stored roster."""
    data: dict[str, list[Any]] = json.loads(value)
    return {
        worker_id: RosterEntry(address, None if jobs is None else tuple(jobs), *zone)
        # Rows of earlier versions have no zone.
        for worker_id, (address, jobs, *zone) in data.items()
    }


def to_json(value: Any) -> bytes:
    """Return compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def _step_data(step: StepSpec) -> dict[str, Any]:
    defaults = StepSpec._field_defaults
    return {
        name: value
        for name, value in step._asdict().items()
        if name not in defaults or value != defaults[name]
    }


def _join(key: tuple[int, ...]) -> str:
    return ".".join(map(str, key))


def _pair(key: str) -> tuple[int, int]:
    first, second = map(int, key.split("."))
    return first, second


def _triple(key: str) -> tuple[int, int, int]:
    first, second, third = map(int, key.split("."))
    return first, second, third
