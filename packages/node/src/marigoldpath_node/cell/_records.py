"""Keys of a cell's rows in the store, and functions that read and write the rows."""

from itertools import count, takewhile
from typing import NamedTuple
from zlib import crc32

import curio

from marigoldpath_core.fleet import Commit, RosterEntry
from marigoldpath_core.jobs import AcceptedJob, JobState, Progress

from ._clock import now_s
from ._codec import (
    LeaderRow,
    decode_job,
    decode_leader,
    decode_roster,
    encode_job,
    encode_leader,
    encode_roster,
)
from ._ports import (
    Row,
    RowKey,
    Store,
    StoreConflictError,
    StoreError,
    StoreLostError,
    VersionedRows,
)
from ._progress_codec import decode_progress, decode_state, encode_progress

JOBS_TABLE = "jobs"
LEADER_TABLE = "lead"
PROGRESS_TABLE = "progress"
# All rows that a leader writes are in one partition, so that a transaction can include
# the condition on the leader's row.
LEADER_PARTITION = "leader"
LEADER_ROW_KEY = RowKey(LEADER_TABLE, LEADER_PARTITION, "leader")
# The roster is stored in several rows, because the size of a row is limited. The first
# row has the key under which earlier builds stored all entries.
ROSTER_ROWS = 16
ROSTER_ROW_KEYS = tuple(
    RowKey(LEADER_TABLE, LEADER_PARTITION, f"roster-{number}" if number else "roster")
    for number in range(ROSTER_ROWS)
)
# The store runs the transactions of a partition serially. When it is slow, a partition
# stores only a few jobs a second, so jobs are spread over many.
JOB_PARTITIONS = 32
# Earlier builds stored jobs in fewer partitions.
EARLIER_JOB_PARTITIONS = 8
CANCEL_SUFFIX = ".cancel"
# Between the id of a job and the number of a part of its progress after the first.
PART_SEPARATOR = "."
# Opening many connections at once overflows the accept queue of the store's listener.
MAX_CONCURRENT_READS = 5
SLOW_LINK_CONCURRENT_READS = 2
# The limits of a page of the stored state. At the higher one, a transfer takes so short
# that further reads at the same time delay nothing.
MIN_LOAD_PAGE_ROWS = 20
MAX_LOAD_PAGE_ROWS = 500
MAX_PAGE_TRANSFER_S = 0.1
TYPICAL_JOB_ROW_BYTES = 2_000
STATE_LOCATIONS = (
    *((JOBS_TABLE, str(partition)) for partition in range(JOB_PARTITIONS)),
    (PROGRESS_TABLE, LEADER_PARTITION),
    (LEADER_TABLE, LEADER_PARTITION),
)
# What the decoders raise for a row that was damaged or written by a later version.
UNREADABLE_ROW_ERRORS = (
    AttributeError,
    KeyError,
    IndexError,
    RecursionError,
    TypeError,
    ValueError,
)


class StoredJob(NamedTuple):
    """A stored job, and whether its cancellation is stored."""

    job: AcceptedJob
    is_cancelled: bool


class StoredState(NamedTuple):
    """The stored state that a new leader loads.

    All changes of jobs up to the store's `version` are included. The jobs in
    `unreadable` are stored, but one of their rows cannot be decoded. `progress_parts`
    has the number of rows of each progress that has more than one.
    """

    jobs: dict[str, StoredJob]
    progress: dict[str, Progress]
    roster: dict[str, RosterEntry]
    version: int
    unreadable: frozenset[str] = frozenset()
    progress_parts: dict[str, int] = {}  # noqa: RUF012


def job_row_key(job_id: str) -> RowKey:
    """Return the key of a job's row."""
    return RowKey(JOBS_TABLE, str(int(job_id[:2], 16) % JOB_PARTITIONS), job_id)


def _earlier_job_row_key(job_id: str) -> RowKey:
    """Return the key of the row of a job that an earlier build stored."""
    return RowKey(JOBS_TABLE, str(int(job_id[0], 16) % EARLIER_JOB_PARTITIONS), job_id)


def cancellation_row_key(job_id: str) -> RowKey:
    """Return the key of the row whose existence marks a job as cancelled."""
    key = job_row_key(job_id)
    return key._replace(key=job_id + CANCEL_SUFFIX)


def progress_row_key(job_id: str, part: int = 0) -> RowKey:
    """Return the key of the row with a part of a job's progress."""
    key = f"{job_id}{PART_SEPARATOR}{part}" if part else job_id
    return RowKey(PROGRESS_TABLE, LEADER_PARTITION, key)


async def write_job(store: Store, job: AcceptedJob) -> AcceptedJob:
    """Store a job unless its id is already stored, and return the stored job."""
    key = job_row_key(job.spec.job_id)
    try:
        await store.commit({key: 0}, {key: encode_job(job)})
    except StoreConflictError as error:
        for row in error.rows:
            if row.key == key and row.value:
                return _decode_stored_job(row)
        raise
    return job


def _decode_stored_job(row: Row) -> AcceptedJob:
    """Decode the row of a job that is stored already.

    Raises StoreLostError for an unreadable row: the job may run, so it must not be
    reported as never run.
    """
    try:
        return decode_job(row.value)
    except UNREADABLE_ROW_ERRORS as error:
        raise StoreLostError(f"{row.key}: {error!r}") from error


async def remove_jobs(store: Store, job_ids: tuple[str, ...]) -> None:
    """Remove the rows of jobs and of their cancellations.

    Raises StoreError.
    """
    partitions: dict[str, list[RowKey]] = {}
    for job_id in job_ids:
        # A row that an earlier build stored must not stay: without its progress, which
        # is removed next, the job would run again.
        for key in {job_row_key(job_id), _earlier_job_row_key(job_id)}:
            keys = partitions.setdefault(key.partition, [])
            keys.extend((key, key._replace(key=job_id + CANCEL_SUFFIX)))
    for keys in partitions.values():
        await store.commit({}, {}, tuple(keys))


async def read_leader_row(
    store: Store, reply_s: float | None = None
) -> tuple[Row, ...]:
    """Return the leader's row as it is stored, if there is one.

    `reply_s` is the timeout of the read. Raises StoreError.
    """
    result = await store.read(
        LEADER_TABLE,
        LEADER_PARTITION,
        LEADER_ROW_KEY.key,
        LEADER_ROW_KEY.key + "~",
        reply_s=reply_s,
    )
    return result.rows


async def read_leader(store: Store) -> tuple[LeaderRow | None, int]:
    """Return the leader's row and its version, or None and 0 if there is no row."""
    for row in await read_leader_row(store):
        return decode_leader(row.value), row.version
    return None, 0


async def read_job(store: Store, job_id: str) -> StoredJob | None:
    """Return a stored job, or None if it does not exist."""
    rows: list[Row] = []
    for key in (job_row_key(job_id), _earlier_job_row_key(job_id)):
        result = await store.read(key.table, key.partition, job_id, job_id + "~")
        rows.extend(result.rows)
        jobs, unreadable = decode_job_rows(rows)
        if job_id in unreadable:
            raise StoreError(f"the row of job {job_id} cannot be decoded")
        if job_id in jobs:
            return jobs[job_id]
    return None


async def read_state(store: Store, job_id: str) -> JobState | None:
    """Return the state of a job from its stored rows, or None if it does not exist.

    A job without a progress row is queued, or cancelled if its cancellation is stored.
    """
    stored = await read_job(store, job_id)
    if stored is None:
        return None
    result = await store.read(
        PROGRESS_TABLE, LEADER_PARTITION, job_id, job_id + PART_SEPARATOR
    )
    for row in result.rows:
        try:
            state = decode_state(row.value)
        except UNREADABLE_ROW_ERRORS as error:
            raise StoreError(f"the progress of job {job_id}: {error!r}") from error
        if state.is_final:
            return state
        return JobState.CANCELLED if stored.is_cancelled else state
    return JobState.CANCELLED if stored.is_cancelled else JobState.QUEUED


class LoadPlan(NamedTuple):
    """How the stored state is read: the rows of a page and the reads at a time."""

    page_rows: int
    concurrent_reads: int


def plan_load(link_mbps: float) -> LoadPlan:
    """Return how a host with a link of `link_mbps` megabits a second loads the state.

    The pages that a slow link is carrying delay the messages of peers and the replies
    to the renewals of the leader's row. So a slow link gets small pages.
    """
    page_bytes = MAX_PAGE_TRANSFER_S * link_mbps * 1_000_000 / 8
    page_rows = int(page_bytes / TYPICAL_JOB_ROW_BYTES)
    if page_rows >= MAX_LOAD_PAGE_ROWS:
        return LoadPlan(MAX_LOAD_PAGE_ROWS, MAX_CONCURRENT_READS)
    return LoadPlan(max(MIN_LOAD_PAGE_ROWS, page_rows), SLOW_LINK_CONCURRENT_READS)


class StateReader:
    """Reads all jobs, their progress and the roster.

    A failed read can be repeated: it then reads only the partitions that are missing,
    one after the other, because a slow link may not carry several at a time. The
    changes that are missed by that are read again as changes after `version`.
    """

    def __init__(self, store: Store, plan: LoadPlan) -> None:
        self._store = store
        self._page_rows = plan.page_rows
        self._partitions: dict[tuple[str, str], VersionedRows] = {}
        self._concurrent_reads = plan.concurrent_reads
        self._progress_s = now_s()

    @property
    def progress_age_s(self) -> float:
        """Seconds since the reader was created or a page of rows was read."""
        return now_s() - self._progress_s

    async def read(self, reply_s: float | None = None) -> StoredState:
        """Return the stored state.

        `reply_s` is the timeout for each page of rows. Raises StoreError.
        """
        semaphore = curio.Semaphore(self._concurrent_reads)
        self._concurrent_reads = 1
        missing = [each for each in STATE_LOCATIONS if each not in self._partitions]
        async with curio.TaskGroup(wait=all) as group:
            reads = [
                await group.spawn(self._read_partition, semaphore, each, reply_s)
                for each in missing
            ]
        for read in reads:
            if read.result is not None:
                raise read.result
        return _decode_state([self._partitions[each] for each in STATE_LOCATIONS])

    async def _read_partition(
        self,
        semaphore: curio.Semaphore,
        location: tuple[str, str],
        reply_s: float | None,
    ) -> StoreError | None:
        # The error is returned because a task group cancels all other tasks if one
        # raises.
        async with semaphore:
            try:
                rows = await self._store.read(
                    *location,
                    reply_s=reply_s,
                    page_rows=self._page_rows,
                    on_page=self._record_progress,
                )
            except StoreError as error:
                return error
        self._partitions[location] = rows
        return None

    def _record_progress(self) -> None:
        self._progress_s = now_s()


async def read_all(store: Store, plan: LoadPlan) -> StoredState:
    """Return all jobs, their progress and the roster; raises StoreError."""
    return await StateReader(store, plan).read()


def _decode_state(partitions: list[VersionedRows]) -> StoredState:
    *job_partitions, progress_rows, leader_rows = partitions
    job_rows: list[Row] = []
    for partition in job_partitions:
        job_rows.extend(partition.rows)
    jobs, unreadable = decode_job_rows(job_rows)
    progress: dict[str, Progress] = {}
    parts = _group_parts(progress_rows.rows)
    for job_id, rows in parts.items():
        try:
            progress[job_id] = decode_progress(rows)
        except UNREADABLE_ROW_ERRORS:
            # Without its progress, the job would run again from the start.
            unreadable.add(job_id)
            jobs.pop(job_id, None)
    progress_parts = {
        job_id: len(rows) for job_id, rows in parts.items() if len(rows) > 1
    }
    roster: dict[str, RosterEntry] = {}
    for row in leader_rows.rows:
        if row.key in ROSTER_ROW_KEYS:
            roster.update(decode_roster(row.value))
    version = min(partition.version for partition in job_partitions)
    return StoredState(
        jobs, progress, roster, version, frozenset(unreadable), progress_parts
    )


def _group_parts(rows: tuple[Row, ...]) -> dict[str, list[bytes]]:
    """Return the parts of the progress of each job, in order.

    A part that follows a missing one is omitted.
    """
    numbered: dict[str, dict[int, bytes]] = {}
    for row in rows:
        job_id, _, part = row.key.key.partition(PART_SEPARATOR)
        number = int(part) if part.isdecimal() else 0
        numbered.setdefault(job_id, {})[number] = row.value
    grouped = {}
    for job_id, parts in numbered.items():
        numbers = takewhile(parts.__contains__, count())
        grouped[job_id] = [parts[number] for number in numbers]
    return grouped


def group_job_rows(rows: tuple[Row, ...] | list[Row]) -> dict[str, StoredJob]:
    """Decode rows of the job table into jobs, keyed by job id.

    A job is marked as cancelled if its cancellation is among the rows. Rows that cannot
    be decoded are omitted.
    """
    return decode_job_rows(rows)[0]


def decode_job_rows(
    rows: tuple[Row, ...] | list[Row],
) -> tuple[dict[str, StoredJob], set[str]]:
    """Decode rows of the job table as in `group_job_rows`.

    Also return the ids of the jobs whose row cannot be decoded.
    """
    jobs: dict[str, StoredJob] = {}
    unreadable: set[str] = set()
    cancelled = cancelled_jobs(rows)
    for row in rows:
        if row.value and not row.key.key.endswith(CANCEL_SUFFIX):
            job_id = row.key.key
            try:
                jobs[job_id] = StoredJob(decode_job(row.value), job_id in cancelled)
            except UNREADABLE_ROW_ERRORS:
                unreadable.add(job_id)
    return jobs, unreadable


def cancelled_jobs(rows: tuple[Row, ...] | list[Row]) -> set[str]:
    """Return the ids of the jobs whose cancellation is among rows of the job table."""
    return {
        row.key.key.removesuffix(CANCEL_SUFFIX)
        for row in rows
        if row.value and row.key.key.endswith(CANCEL_SUFFIX)
    }


def commit_rows(
    leader: LeaderRow, commit: Commit, max_row_bytes: int
) -> dict[RowKey, bytes]:
    """Return the rows that a leader writes in one transaction.

    A longer progress than `max_row_bytes` takes several rows.
    """
    rows = {LEADER_ROW_KEY: encode_leader(leader)}
    for job_id, progress in commit.progress.items():
        for part, value in enumerate(encode_progress(progress, max_row_bytes)):
            rows[progress_row_key(job_id, part)] = value
    if commit.roster is not None:
        rows.update(_roster_rows(commit.roster))
    return rows


def _roster_rows(roster: dict[str, RosterEntry]) -> dict[RowKey, bytes]:
    """Return all rows of the roster, of which each holds some of the workers."""
    parts: list[dict[str, RosterEntry]] = [{} for _ in ROSTER_ROW_KEYS]
    for worker_id, entry in roster.items():
        parts[crc32(worker_id.encode()) % ROSTER_ROWS][worker_id] = entry
    return {key: encode_roster(part) for key, part in zip(ROSTER_ROW_KEYS, parts)}
