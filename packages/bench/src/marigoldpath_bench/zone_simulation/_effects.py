"""What the table and the workers do with the effects of a scheduler."""

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

table_effects: Registry[type, Callable[[Store, Any], Event | None]] = Registry(
    "table effect"
)
worker_effects: Registry[
    type, Callable[[WorkerStateMachine, Any, int], Event | None]
] = Registry("worker effect")
failures: Registry[type, Callable[[Any], Event | None]] = Registry("failure")


def report(machine: WorkerStateMachine, now_ms: int) -> WorkerReport:
    """Return a worker's list as the core reads it."""
    tasks = tuple(
        RunningTask(
            task["task"],
            task["holder"],
            task["sequence"],
            Size(**task["size"]),
            task["lease_until_ms"],
        )
        for task in machine.tasks(now_ms)
    )
    return WorkerReport(now_ms, machine.incarnation, tasks)


@table_effects.register(ReadRow)
def read_row(store: Store, effect: ReadRow) -> Event:
    row = store.read(effect.key)
    return RowRead(effect.key, None if row is None else Row(*row))


@table_effects.register(ReadRows)
def read_rows(store: Store, effect: ReadRows) -> Event:
    return RowsRead(
        effect.prefix, tuple(Row(*row) for row in store.list(effect.prefix))
    )


@table_effects.register(WriteRow)
def write_row(store: Store, effect: WriteRow) -> Event:
    return _write(store, effect.key, effect.value, effect.version)


@table_effects.register(CreateRow)
def create_row(store: Store, effect: CreateRow) -> Event:
    return _write(store, effect.key, effect.value, None)


@table_effects.register(ReadObject)
def read_object(store: Store, effect: ReadObject) -> Event:
    return ObjectRead(effect.key, store.read_object(effect.key))


@table_effects.register(PutObject)
def put_object(store: Store, effect: PutObject) -> Event:
    store.put_object(effect.key, effect.value)
    return RowWriteReplied(effect.key, WriteStatus.WRITTEN)


@worker_effects.register(ListTasks)
def list_tasks(machine: WorkerStateMachine, effect: ListTasks, now_ms: int) -> Event:
    return TasksListed(effect.worker, report(machine, now_ms))


@worker_effects.register(RenewLeases)
def renew_leases(
    machine: WorkerStateMachine, effect: RenewLeases, now_ms: int
) -> Event:
    machine.renew(now_ms, effect.holder, effect.tasks, effect.lease_until_ms)
    return TasksListed(effect.worker, report(machine, now_ms))


@worker_effects.register(StartTasks)
def start_tasks(machine: WorkerStateMachine, effect: StartTasks, now_ms: int) -> Event:
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
    statuses = machine.start(now_ms, effect.holder, items)
    return StartsReplied(effect.worker, now_ms, statuses)


@worker_effects.register(StopTasks)
def stop_tasks(machine: WorkerStateMachine, effect: StopTasks, now_ms: int) -> None:
    machine.stop(now_ms, effect.tasks)


@worker_effects.register(ThrottleTasks)
def throttle_tasks(
    machine: WorkerStateMachine, effect: ThrottleTasks, now_ms: int
) -> None:
    machine.throttle(now_ms, effect.tasks, effect.percent)


@failures.register(ReadRow)
def read_failed(effect: ReadRow) -> Event:
    return RowReadFailed(effect.key)


@failures.register(ReadRows)
def reads_failed(effect: ReadRows) -> Event:
    return RowsReadFailed(effect.prefix)


@failures.register(ReadObject)
def object_failed(effect: ReadObject) -> Event:
    return ObjectRead(effect.key, None, failed=True)


@failures.register(CreateRow)
@failures.register(WriteRow)
@failures.register(PutObject)
def write_failed(effect: Any) -> Event:
    return RowWriteReplied(effect.key, WriteStatus.UNKNOWN)


@failures.register(ListTasks)
@failures.register(RenewLeases)
def worker_failed(effect: Any) -> Event:
    return WorkerFailed(effect.worker, "no reply")


@failures.register(StartTasks)
def starts_failed(effect: StartTasks) -> Event:
    return StartsFailed(effect.worker, tuple(start.task for start in effect.starts))


@failures.register(StopTasks)
@failures.register(ThrottleTasks)
def not_answered(effect: Effect) -> None:
    return None


def _write(store: Store, key: str, value: Any, expected: int | None) -> Event:
    try:
        row = store.write(key, value, expected)
    except ConflictError:
        return RowWriteReplied(key, WriteStatus.CONFLICT)
    return RowWriteReplied(key, WriteStatus.WRITTEN, row.version)
