"""Execute the effects of a scheduler on the simulated table and workers."""

from collections.abc import Callable
from typing import Any

from marigoldpath_bench.platform import ConflictError, Store
from marigoldpath_bench.worker import StartItem, WorkerStateMachine
from marigoldpath_core.messages import (
    CreateRow,
    Effect,
    Event,
    ListTasks,
    ObjectRead,
    PutObject,
    ReadObject,
    ReadRow,
    ReadRows,
    RenewLeases,
    Row,
    RowRead,
    RowReadFailed,
    RowsRead,
    RowsReadFailed,
    RowWriteReplied,
    RunningTask,
    StartsFailed,
    StartsReplied,
    StartTasks,
    StopTasks,
    TasksListed,
    ThrottleTasks,
    WorkerFailed,
    WorkerReport,
    WriteRow,
    WriteStatus,
)
from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import Size

table_handlers: Registry[type, Callable[[Store, Any], Event | None]] = Registry(
    "table effect"
)
worker_handlers: Registry[
    type, Callable[[WorkerStateMachine, Any, int], Event | None]
] = Registry("worker effect")
failure_events: Registry[type, Callable[[Any], Event | None]] = Registry("failure")


def worker_report(worker: WorkerStateMachine, now_ms: int) -> WorkerReport:
    """Return a worker's report of its running tasks in the core's type."""
    tasks = tuple(
        RunningTask(
            task["task"],
            task["holder"],
            task["sequence"],
            Size(**task["size"]),
            task["lease_until_ms"],
        )
        for task in worker.tasks(now_ms)
    )
    return WorkerReport(now_ms, worker.incarnation, tasks)


@table_handlers.register(ReadRow)
def read_row(store: Store, effect: ReadRow) -> Event:
    row = store.read(effect.key)
    return RowRead(effect.key, None if row is None else Row(*row))


@table_handlers.register(ReadRows)
def read_rows(store: Store, effect: ReadRows) -> Event:
    return RowsRead(
        effect.prefix, tuple(Row(*row) for row in store.list(effect.prefix))
    )


@table_handlers.register(WriteRow)
def write_row(store: Store, effect: WriteRow) -> Event:
    return _write(store, effect.key, effect.value, effect.version)


@table_handlers.register(CreateRow)
def create_row(store: Store, effect: CreateRow) -> Event:
    return _write(store, effect.key, effect.value, None)


@table_handlers.register(ReadObject)
def read_object(store: Store, effect: ReadObject) -> Event:
    return ObjectRead(effect.key, store.read_object(effect.key))


@table_handlers.register(PutObject)
def put_object(store: Store, effect: PutObject) -> Event:
    store.put_object(effect.key, effect.value)
    return RowWriteReplied(effect.key, WriteStatus.WRITTEN)


@worker_handlers.register(ListTasks)
def list_tasks(worker: WorkerStateMachine, effect: ListTasks, now_ms: int) -> Event:
    return TasksListed(effect.worker, worker_report(worker, now_ms))


@worker_handlers.register(RenewLeases)
def renew_leases(worker: WorkerStateMachine, effect: RenewLeases, now_ms: int) -> Event:
    worker.renew(now_ms, effect.holder, effect.tasks, effect.lease_until_ms)
    return TasksListed(effect.worker, worker_report(worker, now_ms))


@worker_handlers.register(StartTasks)
def start_tasks(worker: WorkerStateMachine, effect: StartTasks, now_ms: int) -> Event:
    items = [
        StartItem(
            start.task,
            start.size,
            start.start_before_ms,
            start.lease_until_ms,
            start.work,
        )
        for start in effect.starts
    ]
    statuses = worker.start(now_ms, effect.holder, items)
    return StartsReplied(effect.worker, now_ms, statuses)


@worker_handlers.register(StopTasks)
def stop_tasks(worker: WorkerStateMachine, effect: StopTasks, now_ms: int) -> None:
    worker.stop(now_ms, effect.tasks)


@worker_handlers.register(ThrottleTasks)
def throttle_tasks(
    worker: WorkerStateMachine, effect: ThrottleTasks, now_ms: int
) -> None:
    worker.throttle(now_ms, effect.tasks, effect.percent)


@failure_events.register(ReadRow)
def read_failed(effect: ReadRow) -> Event:
    return RowReadFailed(effect.key)


@failure_events.register(ReadRows)
def reads_failed(effect: ReadRows) -> Event:
    return RowsReadFailed(effect.prefix)


@failure_events.register(ReadObject)
def object_failed(effect: ReadObject) -> Event:
    return ObjectRead(effect.key, None, failed=True)


@failure_events.register(CreateRow)
@failure_events.register(WriteRow)
@failure_events.register(PutObject)
def write_failed(effect: Any) -> Event:
    return RowWriteReplied(effect.key, WriteStatus.UNKNOWN)


@failure_events.register(ListTasks)
@failure_events.register(RenewLeases)
def worker_failed(effect: Any) -> Event:
    return WorkerFailed(effect.worker, "no reply")


@failure_events.register(StartTasks)
def starts_failed(effect: StartTasks) -> Event:
    return StartsFailed(effect.worker, tuple(start.task for start in effect.starts))


@failure_events.register(StopTasks)
@failure_events.register(ThrottleTasks)
def no_failure_event(effect: Effect) -> None:
    return None


def _write(store: Store, key: str, value: Any, expected: int | None) -> Event:
    try:
        row = store.write(key, value, expected)
    except ConflictError:
        return RowWriteReplied(key, WriteStatus.CONFLICT)
    return RowWriteReplied(key, WriteStatus.WRITTEN, row.version)
