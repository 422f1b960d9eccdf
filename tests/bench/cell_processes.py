"""A cell of entry hosts that run as processes, and jobs that a test submits."""

import json
import signal
from pathlib import Path
from random import Random

import curio

from marigoldpath_bench.fleet_simulation import SubmissionReply
from marigoldpath_bench.platform_fakes import job_body, parse_job_state
from marigoldpath_bench.process_soak._cell import SITE, URGENT_PREFIX, Cell
from marigoldpath_core.jobs import AcceptedJob, JobSpec, JobState, Queue
from marigoldpath_node.http import HttpError

QUEUE = Queue("urgent", "service", 0, 3, 1.5, 300)
# The maximum wait for an expected reply; the tests normally need a fraction of it.
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
SHUTDOWN_DELAY_S = 0.5
HEADERS = {"host": SITE}


class CellProcesses(Cell):
    """Entry hosts as processes, with fakes of the store and the workers."""

    def __init__(self, folder: Path, hosts: int = 2, workers: int = 4) -> None:
        super().__init__(Random("failover"), hosts, workers, folder)
        self._log_folder = folder

    async def wait_until_serving(self) -> None:
        """Wait until all hosts have the configuration."""
        for host in self.hosts:
            await self.wait_for(lambda host=host: self.request(host, "GET", ""), 200)

    async def wait_for(self, call, status, state=None):
        """Repeat a call until its reply has the status and, if given, the job state."""

        async def repeat():
            while True:
                response = await call()
                if (
                    response is not None
                    and response.status == status
                    and (state is None or parse_job_state(response.json()) is state)
                ):
                    return
                await curio.sleep(POLL_INTERVAL_S)

        await curio.timeout_after(TIMEOUT_S, repeat)

    async def wait_for_state(self, job_id: str, state: JobState) -> None:
        """Wait until all hosts show the job in this state."""
        for host in self.hosts:
            await self.wait_for(
                lambda host=host: self.request(host, "GET", job_id), 200, state
            )

    async def request(self, host, method, job_id, body=None):
        """Return the reply of a host, or None if there is none."""
        path = URGENT_PREFIX + job_id
        try:
            return await self.client.request(
                method, host.ingress, path, value=body, headers=HEADERS
            )
        except HttpError:
            return None

    async def submit(self, spec: JobSpec) -> None:
        """Submit an urgent job until it is accepted."""
        job = AcceptedJob(spec, QUEUE, 0, 0)
        self.oracle.record_job(job, SubmissionReply.ACCEPTED)
        body = job_body(spec)
        host = self.hosts[0]
        await self.wait_for(lambda: self.request(host, "POST", spec.job_id, body), 200)

    def leader(self):
        """Return the host that became the leader last."""
        newest = ""
        found = None
        for host in self.hosts:
            log = self._log_folder / f"{host.name}.log"
            for line in log.read_text().splitlines():
                if '"leadership_won"' in line:
                    won = line.rpartition('"timestamp": ')[2]
                    if won > newest:
                        newest, found = won, host
        return found

    def log_lines(self, event):
        """Return the log lines of all hosts about an event, in the order of time."""
        lines = []
        for host in self.hosts:
            text = (self._log_folder / f"{host.name}.log").read_text()
            lines += [line for line in text.splitlines() if f'"{event}"' in line]
        decoded = [json.loads(line) for line in lines]
        return sorted(decoded, key=lambda each: each["timestamp"])

    def stored_roster(self):
        """Return the workers in the stored roster."""
        rows = [each for each in self.store.rows if each[2].startswith("roster")]
        return {
            worker_id
            for table, partition, key in rows
            for worker_id in self.store.value(table, key, partition)
        }

    async def wait_for_runs(self, count):
        """Wait until this number of tasks runs; return the worker with most of them."""

        def counts():
            return {each: len(each.worker.running_tasks) for each in self.workers}

        started = await self.wait_until(
            lambda: sum(counts().values()) == count, TIMEOUT_S
        )
        assert started, f"not all {count} tasks run"
        return max(self.workers, key=counts().get)

    async def wait_for_next_leader(self, terms):
        """Wait until this number of leaders has loaded the stored state."""
        loaded = await self.wait_until(
            lambda: len(self.log_lines("leader_loaded")) >= terms, TIMEOUT_S
        )
        assert loaded, "there is no new leader"

    async def stop_leader(self):
        """Send SIGTERM to the leader, and start its process again once it has ended."""
        leader = self.leader()
        leader.send_signal(signal.SIGTERM)

        async def restart():
            await self.wait_until(lambda: not leader.is_running, TIMEOUT_S)
            leader.start()

        await curio.spawn(restart, daemon=True)

    def run(self, action) -> None:
        """Start the cell, run the coroutine function `action`, and kill the hosts."""

        async def run():
            try:
                await self.start()
                await self.wait_until_serving()
                await action()
            finally:
                # Hosts that keep running would connect to fakes that are shut down.
                for host in self.hosts:
                    host.kill()
                await curio.sleep(SHUTDOWN_DELAY_S)

        curio.run(run)
