"""Serve a simulated worker over HTTP, on the machine's clock."""

from collections.abc import Callable
from random import Random
from typing import Any

import curio

from marigoldpath_bench.fleet_simulation import Oracle, SimulatedWorker
from marigoldpath_core.fleet import StartResult, StartRun, StopRun, WorkerPoll
from marigoldpath_core.jobs import Resources, TaskKey
from marigoldpath_node.http import HttpRequest, HttpResponse, json_response

from ._server import FakeServer

POLL_INTERVAL_S = 0.01
MIN_DELAY_S = 1.0
MAX_DELAY_S = 5.0
CAPACITY = Resources(64_000, 256_000, 0)
REJECTION_REASONS = {
    StartResult.FENCED: "fence",
    StartResult.EXPIRED: "late",
    StartResult.STALE_RUN: "old",
}


class SimulatedWorkerServer(FakeServer):
    """Execute start and stop commands on a simulated worker and reply to polls.

    A server that `is_unhealthy` refuses starts with the status 503. The share
    `delayed_command_share` of the commands gets no reply and is executed some seconds
    later. `advance_workers` terminates the runs that are due on all workers, so
    that the oracle does not count them as running when it checks a start.
    """

    def __init__(
        self,
        worker_id: str,
        oracle: Oracle,
        random: Random,
        now_ms: Callable[[], float],
        advance_workers: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self.worker_id = worker_id
        self.delayed_command_share = 0.0
        self.is_unhealthy = False
        self.labels: tuple[str, ...] = ("a", "rack-1")
        self._oracle = oracle
        self._random = random
        self._now_ms = now_ms
        self._advance_workers = advance_workers
        self._capacity = CAPACITY
        self.worker = SimulatedWorker(worker_id, self._capacity, oracle, random)

    def entry(self, address: str, state: str = "ready") -> dict[str, Any]:
        """Return the worker's entry in the store with the address to reach it at."""
        capacity = self._capacity
        return {
            "service": "service",
            "address": address,
            "zone": "split",
            "state": state,
            "capacity": {
                "cpu": capacity.cpu_millis,
                "mem-mb": capacity.memory_mb,
                "gpu": capacity.accelerators,
            },
            "labels": list(self.labels),
            "born": self.worker.entry.incarnation,
            "remaining-ms": 2_000,
        }

    async def respond(self, request: HttpRequest, body: Any) -> HttpResponse:
        """Execute a command or reply to a poll."""
        if request.headers.get("x-expect-instance") != self.worker_id:
            return json_response(421, {})
        name = request.path.rpartition("/")[2]
        if name == "hold":
            return await self._reply_to_poll(body)
        incarnation = self.worker.incarnation_count
        if self._random.random() < self.delayed_command_share:
            await curio.sleep(self._random.uniform(MIN_DELAY_S, MAX_DELAY_S))
            if self.worker.incarnation_count == incarnation:
                self._execute(name, body)
            raise ConnectionAbortedError("the command was executed late")
        return self._execute(name, body)

    async def _reply_to_poll(self, body: Any) -> HttpResponse:
        incarnation = self.worker.incarnation_count
        until = body.get("until-ms")
        command = WorkerPoll("", until, body["last-seen"], 0)
        until_ms = self._now_ms() + body.get("wait-ms", 0)
        while True:
            report = self.worker.poll(body["fence"], command, self._now_ms())
            if report is None:
                return json_response(409, {"reason": "fence"})
            if report.ended or self._now_ms() >= until_ms:
                break
            await curio.sleep(POLL_INTERVAL_S)
            if self.worker.incarnation_count != incarnation:
                raise ConnectionAbortedError("the worker restarted")
        running = [
            [_encode_task(row.task), row.run, row.checkpoint, row.percent, row.load]
            for row in report.running
        ]
        finished = [
            [
                end.number,
                _encode_task(end.task),
                end.run,
                end.kind.value,
                end.checkpoint,
            ]
            for end in report.ended
        ]
        lists = {"running": running, "finished": finished}
        header = {"clock-ms": report.clock_ms, "born": report.incarnation}
        return json_response(200, {**header, **lists})

    def _execute(self, name: str, body: Any) -> HttpResponse:
        if name == "run-start" and self.is_unhealthy:
            return json_response(503, {})
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            stop = StopRun(self.worker_id, "", _decode_task(body["task"]), body["run"])
            clock_ms = self.worker.stop(stop, body["fence"], self._now_ms())
            if clock_ms is None:
                return json_response(409, {"reason": "fence"})
            return json_response(200, {"clock-ms": clock_ms})
        return json_response(200, {"clock-ms": 0})

    def _start(self, body: Any) -> HttpResponse:
        task = _decode_task(body["task"])
        job = self._oracle.jobs.get(task.job_id)
        if job is None or job.spec.payload != body["spec"]:
            self._oracle.record_unrequested_start(task, self._now_ms())
            return json_response(400, {})
        command = StartRun(
            self.worker_id,
            "",
            task,
            body["run"],
            body["spec"],
            body.get("saved", ""),
            body.get("ticket", ""),
            body["until-ms"],
            self.worker.entry.incarnation,
        )
        spec = job.spec.steps[task.step]
        self._advance_workers()
        result, clock_ms = self.worker.start(
            command, body["fence"], spec, self._now_ms()
        )
        if result is StartResult.STARTED:
            return json_response(200, {"clock-ms": clock_ms})
        reason = {"clock-ms": clock_ms, "reason": REJECTION_REASONS[result]}
        return json_response(409, reason)


def _encode_task(task: TaskKey) -> str:
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.task_index}"


def _decode_task(name: str) -> TaskKey:
    job_id, *numbers = name.split(".")
    return TaskKey(job_id, *map(int, numbers))
