"""Encodes the commands that a leader sends through a relay, and the replies to them."""

from enum import Enum
from typing import Any, NamedTuple

from marigoldpath_core.fleet import (
    RunningTask,
    StartReplied,
    StartResult,
    StartRun,
    StopReplied,
    StopRun,
    TerminatedRun,
    TerminationReason,
    ThrottleRun,
    WorkerPoll,
    WorkerReport,
)
from marigoldpath_core.jobs import TaskKey
from marigoldpath_core.registry import Registry

from ._ports import WorkerClient


class CommandKind(Enum):
    """The methods of `WorkerClient` that can be relayed."""

    POLL = "poll"
    START = "start"
    STOP = "stop"
    THROTTLE = "throttle"


class RelayStatus(Enum):
    """The outcome of a relayed command.

    DONE: the worker replied. WORKER_FAILED: it did not reply, or it refused the call.
    FENCED: it has seen a later epoch. NOT_SENT: the relay has not sent the command and
    never will. LOST: the relay did not reply, so the command may have been executed.
    """

    DONE = "done"
    WORKER_FAILED = "failed"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    LOST = "lost"


class PollCommand(NamedTuple):
    """A poll of one worker."""

    worker_id: str
    poll: WorkerPoll


class RelayReply(NamedTuple):
    """The outcome of a relayed command; `value` is the worker's reply if it is DONE.

    `reason` states a failure.
    """

    status: RelayStatus
    value: Any = None
    reason: str = ""


Command = PollCommand | StartRun | StopRun | ThrottleRun

KINDS: dict[type, CommandKind] = {
    PollCommand: CommandKind.POLL,
    StartRun: CommandKind.START,
    StopRun: CommandKind.STOP,
    ThrottleRun: CommandKind.THROTTLE,
}

command_decoders: Registry = Registry("decoder of a relayed command")
executors: Registry = Registry("relayed command")
value_encoders: Registry = Registry("encoder of a relayed reply")
value_decoders: Registry = Registry("decoder of a relayed reply")


def encode_commands(commands: list[tuple[int, Command]]) -> dict[str, Any]:
    """Encode numbered commands; the payload of each job is included once."""
    payloads: dict[str, str] = {}
    rows = []
    for number, command in commands:
        fields: tuple = tuple(command)
        if isinstance(command, StartRun):
            payloads[command.task.job_id] = command.payload
            fields = tuple(command._replace(payload=""))
        rows.append([number, KINDS[type(command)].value, *fields])
    return {"payloads": payloads, "commands": rows}


def decode_commands(data: dict[str, Any]) -> list[tuple[int, Command]]:
    """Decode what `encode_commands` returned.

    Raises ValueError.
    """
    try:
        return [
            (
                int(row[0]),
                command_decoders.get(CommandKind(row[1]))(row[2:], data["payloads"]),
            )
            for row in data["commands"]
        ]
    except (AttributeError, IndexError, KeyError, TypeError) as error:
        raise ValueError(f"no valid commands: {error!r}") from error


async def execute(workers: WorkerClient, command: Command, epoch: int) -> Any:
    """Send a command to its worker and return the reply.

    Raises WorkerFailedError or FencedError.
    """
    return await executors.get(KINDS[type(command)])(workers, command, epoch)


def encode_reply(kind: CommandKind, reply: RelayReply) -> list[Any]:
    """Encode the outcome of a command."""
    value = None
    if reply.status is RelayStatus.DONE:
        value = value_encoders.get(kind)(reply.value)
    return [reply.status.value, value, reply.reason]


def decode_reply(kind: CommandKind, row: list[Any]) -> RelayReply:
    """Decode what `encode_reply` returned.

    Raises ValueError.
    """
    try:
        status = RelayStatus(row[0])
        value = None
        if status is RelayStatus.DONE:
            value = value_decoders.get(kind)(row[1])
        return RelayReply(status, value, str(row[2]))
    except (IndexError, KeyError, TypeError) as error:
        raise ValueError(f"no valid reply to a command: {error!r}") from error


@command_decoders.register(CommandKind.POLL)
def _decode_poll(row: list[Any], _payloads: dict[str, str]) -> PollCommand:
    worker_id, poll = row
    return PollCommand(worker_id, WorkerPoll(*poll))


@command_decoders.register(CommandKind.START)
def _decode_start(row: list[Any], payloads: dict[str, str]) -> StartRun:
    command = StartRun(*row)
    task = TaskKey(*command.task)
    return command._replace(task=task, payload=payloads[task.job_id])


@command_decoders.register(CommandKind.STOP)
def _decode_stop(row: list[Any], _payloads: dict[str, str]) -> StopRun:
    command = StopRun(*row)
    return command._replace(task=TaskKey(*command.task))


@command_decoders.register(CommandKind.THROTTLE)
def _decode_throttle(row: list[Any], _payloads: dict[str, str]) -> ThrottleRun:
    command = ThrottleRun(*row)
    return command._replace(task=TaskKey(*command.task))


@executors.register(CommandKind.POLL)
async def _execute_poll(
    workers: WorkerClient, command: PollCommand, epoch: int
) -> WorkerReport:
    return await workers.poll(command.worker_id, epoch, command.poll)


@executors.register(CommandKind.START)
async def _execute_start(
    workers: WorkerClient, command: StartRun, epoch: int
) -> StartReplied:
    return await workers.start(command, epoch)


@executors.register(CommandKind.STOP)
async def _execute_stop(
    workers: WorkerClient, command: StopRun, epoch: int
) -> StopReplied:
    return await workers.stop(command, epoch)


@executors.register(CommandKind.THROTTLE)
async def _execute_throttle(
    workers: WorkerClient, command: ThrottleRun, epoch: int
) -> None:
    await workers.throttle(command, epoch)


@value_encoders.register(CommandKind.POLL)
def _encode_report(report: WorkerReport) -> list[Any]:
    ended = [[*each[:3], each.kind.value, each.checkpoint] for each in report.ended]
    return [*report[:4], ended]


@value_decoders.register(CommandKind.POLL)
def _decode_report(row: list[Any]) -> WorkerReport:
    worker_id, clock_ms, incarnation, running, ended = row
    return WorkerReport(
        worker_id,
        clock_ms,
        incarnation,
        tuple(RunningTask(TaskKey(*each[0]), *each[1:]) for each in running),
        tuple(
            TerminatedRun(
                each[0],
                TaskKey(*each[1]),
                each[2],
                TerminationReason(each[3]),
                each[4],
            )
            for each in ended
        ),
    )


@value_encoders.register(CommandKind.START)
def _encode_start_reply(reply: StartReplied) -> list[Any]:
    return [*reply[:3], reply.result.value, reply.clock_ms]


@value_decoders.register(CommandKind.START)
def _decode_start_reply(row: list[Any]) -> StartReplied:
    worker_id, task, run, result, clock_ms = row
    return StartReplied(worker_id, TaskKey(*task), run, StartResult(result), clock_ms)


@value_encoders.register(CommandKind.STOP)
def _encode_stop_reply(reply: StopReplied) -> list[Any]:
    return [*reply[:4]]


@value_decoders.register(CommandKind.STOP)
def _decode_stop_reply(row: list[Any]) -> StopReplied:
    worker_id, task, run, clock_ms = row
    return StopReplied(worker_id, TaskKey(*task), run, clock_ms)


@value_encoders.register(CommandKind.THROTTLE)
def _encode_nothing(_value: None) -> None:
    return None


@value_decoders.register(CommandKind.THROTTLE)
def _decode_nothing(_row: None) -> None:
    return None
