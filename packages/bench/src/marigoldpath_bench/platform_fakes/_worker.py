"""A worker over HTTP: the simulated worker of the search, on the machine's clock."""

from collections.abc import Callable
from random import Random
from typing import Any

import curio

from marigoldpath_bench.fleet_simulation import Oracle, SimulatedWorker
from marigoldpath_core.fleet import StartResult, StartRun, StopRun, WorkerPoll
from marigoldpath_core.jobs import Resources, TaskKey
from marigoldpath_node.http import HttpRequest, HttpResponse, json_response

from ._server import FakeServer

LOOK_STEP_S = 0.01
FIRST_LATE_S = 1.0
LAST_LATE_S = 5.0
CAPACITY = Resources(64_000, 256_000, 0)
REFUSALS = {
    StartResult.FENCED: "fence",
    StartResult.EXPIRED: "late",
    StartResult.STALE_RUN: "old",
}


class SimulatedWorkerServer(FakeServer):
    """Starts what it is told and writes that down in the oracle.

    A share `delayed_command_share` of the orders gets no answer and is carried out
    seconds later.
    `catch_up` lets all workers notice what has ended before a start is judged.
    """

    def __init__(
        self,
        worker_id: str,
        oracle: Oracle,
        random: Random,
        now_ms: Callable[[], float],
        catch_up: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self.worker_id = worker_id
        self.delayed_command_share = 0.0
        self._oracle = oracle
        self._random = random
        self._now_ms = now_ms
        self._catch_up = catch_up
        self._capacity = CAPACITY
        self.worker = SimulatedWorker(worker_id, self._capacity, oracle, random)

    def entry(self, address: str, state: str = "ready") -> dict[str, Any]:
        """Return what the worker writes to the store; it is reached at `address`."""
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
            "labels": ["a", "rack-1"],
            "born": self.worker.entry.incarnation,
            "remaining-ms": 2_000,
        }

    async def respond(self, request: HttpRequest, body: Any) -> HttpResponse:
        """Carry out an order."""
        if request.headers.get("x-expect-instance") != self.worker_id:
            return json_response(421, {})
        name = request.path.rpartition("/")[2]
        if name == "hold":
            return await self._look(body)
        life = self.worker.incarnation_count
        if self._random.random() < self.delayed_command_share:
            await curio.sleep(self._random.uniform(FIRST_LATE_S, LAST_LATE_S))
            if self.worker.incarnation_count == life:
                self._carry_out(name, body)
            raise ConnectionAbortedError("the order was carried out late")
        return self._carry_out(name, body)

    async def _look(self, body: Any) -> HttpResponse:
        life = self.worker.incarnation_count
        until = body.get("until-ms")
        order = WorkerPoll("", until, body["last-seen"], 0)
        until_ms = self._now_ms() + body.get("wait-ms", 0)
        while True:
            report = self.worker.look(body["fence"], order, self._now_ms())
            if report is None:
                return json_response(409, {"reason": "fence"})
            if report.ended or self._now_ms() >= until_ms:
                break
            await curio.sleep(LOOK_STEP_S)
            if self.worker.incarnation_count != life:
                raise ConnectionAbortedError("the worker restarted")
        running = [
            [_name(row.task), row.run, row.checkpoint, row.percent, row.load]
            for row in report.running
        ]
        finished = [
            [end.number, _name(end.task), end.run, end.kind.value, end.checkpoint]
            for end in report.ended
        ]
        lists = {"running": running, "finished": finished}
        told = {"clock-ms": report.clock_ms, "born": report.incarnation}
        return json_response(200, {**told, **lists})

    def _carry_out(self, name: str, body: Any) -> HttpResponse:
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            stop = StopRun(self.worker_id, "", _task(body["task"]), body["run"])
            clock_ms = self.worker.stop(stop, body["fence"], self._now_ms())
            if clock_ms is None:
                return json_response(409, {"reason": "fence"})
            return json_response(200, {"clock-ms": clock_ms})
        return json_response(200, {"clock-ms": 0})

    def _start(self, body: Any) -> HttpResponse:
        task = _task(body["task"])
        job = self._oracle.jobs.get(task.job_id)
        if job is None or job.spec.payload != body["spec"]:
            self._oracle.record_unrequested_start(task, self._now_ms())
            return json_response(400, {})
        order = StartRun(
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
        self._catch_up()
        result, clock_ms = self.worker.start(order, body["fence"], spec, self._now_ms())
        if result is StartResult.STARTED:
            return json_response(200, {"clock-ms": clock_ms})
        reason = {"clock-ms": clock_ms, "reason": REFUSALS[result]}
        return json_response(409, reason)


def _name(task: TaskKey) -> str:
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.task_index}"


def _task(name: str) -> TaskKey:
    job_id, *numbers = name.split(".")
    return TaskKey(job_id, *map(int, numbers))
