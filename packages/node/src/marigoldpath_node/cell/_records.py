"""Where a cell keeps its rows, and the reads and writes of them."""

from typing import NamedTuple

import curio

from marigoldpath_core.fleet import Commit, RosterEntry
from marigoldpath_core.jobs import AcceptedJob, JobState, Progress

from ._codec import (
    LeaderRow,
    decode_job,
    decode_leader,
    decode_progress,
    decode_roster,
    encode_job,
    encode_leader,
    encode_progress,
    encode_roster,
)
from ._ports import Row, RowKey, Rows, Store, StoreConflictError, StoreError

JOBS_TABLE = "jobs"
LEAD_TABLE = "lead"
PROGRESS_TABLE = "progress"
# All that a leader writes is in one part, so that one condition guards it.
LEAD_PART = "leader"
LEADER_ROW = RowKey(LEAD_TABLE, LEAD_PART, "leader")
ROSTER_ROW = RowKey(LEAD_TABLE, LEAD_PART, "roster")
# A part takes its transactions one after another; acceptance uses several.
JOB_PARTS = 8
CANCEL_SUFFIX = ".cancel"
# Many connections opened at once overflow the queue of the store's listener.
READS_AT_ONCE = 5


class StoredJob(NamedTuple):
    """A job as the store has it."""

    job: AcceptedJob
    is_cancelled: bool


class StoredState(NamedTuple):
    """All that a new leader needs, and the version up to which jobs were read."""

    jobs: dict[str, StoredJob]
    progress: dict[str, Progress]
    roster: dict[str, RosterEntry]
    version: int


def job_row(job_id: str) -> RowKey:
    """Return the row of a job."""
    return RowKey(JOBS_TABLE, str(int(job_id[0], 16) % JOB_PARTS), job_id)


def cancel_row(job_id: str) -> RowKey:
    """Return the row that says that a job is cancelled."""
    row = job_row(job_id)
    return row._replace(key=job_id + CANCEL_SUFFIX)


def progress_row(job_id: str) -> RowKey:
    """Return the row of a job's progress."""
    return RowKey(PROGRESS_TABLE, LEAD_PART, job_id)


async def write_job(store: Store, job: AcceptedJob) -> AcceptedJob:
    """Store a job once and return it as stored; a repeat of its id changes nothing."""
    row = job_row(job.spec.job_id)
    try:
        await store.commit({row: 0}, {row: encode_job(job)})
    except StoreConflictError as fault:
        for found in fault.rows:
            if found.key == row and found.value:
                return decode_job(found.value)
        raise
    return job


async def remove_jobs(store: Store, job_ids: tuple[str, ...]) -> None:
    """Remove jobs and their cancellations; raises StoreError."""
    parts: dict[str, list[RowKey]] = {}
    for job_id in job_ids:
        rows = parts.setdefault(job_row(job_id).part, [])
        rows.extend((job_row(job_id), cancel_row(job_id)))
    for rows in parts.values():
        await store.commit({}, {}, tuple(rows))


async def read_leader(store: Store) -> tuple[LeaderRow | None, int]:
    """Return the leader's row and its version, 0 when there is none."""
    found = await store.read(
        LEAD_TABLE, LEAD_PART, LEADER_ROW.key, LEADER_ROW.key + "~"
    )
    for row in found.rows:
        return decode_leader(row.value), row.version
    return None, 0


async def read_job(store: Store, job_id: str) -> StoredJob | None:
    """Return a stored job."""
    row = job_row(job_id)
    found = await store.read(row.table, row.part, job_id, job_id + "~")
    return sort_job_rows(found.rows).get(job_id)


async def read_state(store: Store, job_id: str) -> JobState | None:
    """Return what the store alone says of a job, None when it does not exist."""
    stored = await read_job(store, job_id)
    if stored is None:
        return None
    found = await store.read(PROGRESS_TABLE, LEAD_PART, job_id, job_id + "~")
    for row in found.rows:
        state = decode_progress(row.value).state
        if state.is_final:
            return state
        return JobState.CANCELLED if stored.is_cancelled else state
    return JobState.CANCELLED if stored.is_cancelled else JobState.QUEUED


async def read_all(store: Store, reply_s: float | None = None) -> StoredState:
    """Return all jobs, their progress and the roster; raises StoreError.

    `reply_s` bounds the wait for each page of rows.
    """
    ranges = [(JOBS_TABLE, str(part)) for part in range(JOB_PARTS)]
    ranges.append((PROGRESS_TABLE, LEAD_PART))
    ranges.append((LEAD_TABLE, LEAD_PART))
    gate = curio.Semaphore(READS_AT_ONCE)
    async with curio.TaskGroup(wait=all) as group:
        reads = [
            await group.spawn(_attempt, gate, store, *each, reply_s) for each in ranges
        ]
    *parts, progress_rows, lead_rows = [_checked(read.result) for read in reads]
    job_rows: list[Row] = []
    for part in parts:
        job_rows.extend(part.rows)
    progress = {row.key.key: decode_progress(row.value) for row in progress_rows.rows}
    roster: dict[str, RosterEntry] = {}
    for row in lead_rows.rows:
        if row.key == ROSTER_ROW:
            roster = decode_roster(row.value)
    version = min(part.version for part in parts)
    return StoredState(sort_job_rows(job_rows), progress, roster, version)


async def _attempt(
    gate: curio.Semaphore,
    store: Store,
    table: str,
    part: str,
    reply_s: float | None,
) -> Rows | StoreError:
    # A task group cancels its other tasks when one raises.
    async with gate:
        try:
            return await store.read(table, part, reply_s=reply_s)
        except StoreError as fault:
            return fault


def _checked(result: Rows | StoreError) -> Rows:
    if isinstance(result, StoreError):
        raise result
    return result


def sort_job_rows(rows: tuple[Row, ...] | list[Row]) -> dict[str, StoredJob]:
    """Return the jobs among rows of the job table, with their cancellations."""
    jobs: dict[str, StoredJob] = {}
    cancelled = cancelled_jobs(rows)
    for row in rows:
        if row.value and not row.key.key.endswith(CANCEL_SUFFIX):
            job_id = row.key.key
            jobs[job_id] = StoredJob(decode_job(row.value), job_id in cancelled)
    return jobs


def cancelled_jobs(rows: tuple[Row, ...] | list[Row]) -> set[str]:
    """Return the jobs whose cancellation is among rows of the job table."""
    return {
        row.key.key.removesuffix(CANCEL_SUFFIX)
        for row in rows
        if row.value and row.key.key.endswith(CANCEL_SUFFIX)
    }


def commit_rows(leader: LeaderRow, commit: Commit) -> dict[RowKey, bytes]:
    """Return the rows of a leader's transaction."""
    rows = {LEADER_ROW: encode_leader(leader)}
    for job_id, progress in commit.progress.items():
        rows[progress_row(job_id)] = encode_progress(progress)
    if commit.roster is not None:
        rows[ROSTER_ROW] = encode_roster(commit.roster)
    return rows
