"""Guards the soak of real processes: its proxy, its stand-ins and a short run."""

import tempfile
import unittest
from pathlib import Path
from random import Random

import curio

from marigoldpath_bench.faults import FaultPlan
from marigoldpath_bench.fleet_simulation import Oracle, SubmissionReply
from marigoldpath_bench.platform_fakes import (
    FakeServer,
    FakeStore,
    SimulatedWorkerServer,
)
from marigoldpath_bench.process_soak import SoakRun, SoakSettings
from marigoldpath_bench.process_soak._proxy import LoopbackProxy
from marigoldpath_core.jobs import AcceptedJob, JobSpec, Queue, Resources, StepSpec
from marigoldpath_node.http import (
    HttpClient,
    HttpClientSettings,
    HttpResponse,
    ReplyLostError,
)

JOB_ID = "00000000000000aa"
QUEUE = Queue("queue", "service", 0, 3, 1.5, 300)
# Bounds what never comes; an answer takes a fraction of it.
REPLY_S = 0.5


class EchoServer(FakeServer):
    async def respond(self, request, body):
        return HttpResponse(200, b"answer")


class ProxyTests(unittest.TestCase):
    def run_proxy(self, action):
        async def run():
            server = EchoServer()
            await server.start()
            proxy = LoopbackProxy(server.address)
            await curio.spawn(proxy.run, daemon=True)
            client = HttpClient(HttpClientSettings(reply_s=REPLY_S))

            async def ask():
                try:
                    await client.request("GET", proxy.address, "/")
                except ReplyLostError:
                    return False
                return True

            return await action(proxy, ask), len(server.received)

        return curio.run(run)

    def test_an_undamaged_connection_passes_everything(self):
        async def action(_proxy, ask):
            return await ask()

        self.assertEqual(self.run_proxy(action), (True, 1))

    def test_one_way_lets_the_request_through_and_loses_the_answer(self):
        async def action(proxy, ask):
            proxy.mode = "one_way"
            return await ask()

        self.assertEqual(self.run_proxy(action), (False, 1))

    def test_silent_loses_both(self):
        async def action(proxy, ask):
            proxy.mode = "silent"
            return await ask()

        self.assertEqual(self.run_proxy(action), (False, 0))

    def test_reset_ends_the_connection(self):
        async def action(proxy, ask):
            proxy.mode = "reset"
            return await ask()

        self.assertEqual(self.run_proxy(action), (False, 0))

    def test_a_connection_that_lost_bytes_stays_silent(self):
        """A client that waits for it to come back must be found out."""

        async def action(proxy, _ask):
            proxy.mode = "one_way"
            host, _, port = proxy.address.rpartition(":")
            connection = await curio.open_connection(host, int(port))
            request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
            await connection.sendall(request)
            await curio.sleep(0.1)
            proxy.mode = "pass"
            await connection.sendall(request)
            return await curio.ignore_after(REPLY_S, connection.recv, 100)

        self.assertEqual(self.run_proxy(action)[0], None)


class StoreTests(unittest.TestCase):
    def call(self, store, method, path, value=None):
        client = HttpClient(HttpClientSettings(reply_s=REPLY_S))
        return client.request(method, store.address, path, value=value)

    def test_a_late_write_is_done_only_if_its_condition_holds(self):
        row = {"table": "t", "part": "", "key": "k"}
        write = {
            "expect-rev": [{**row, "ver": 0}],
            "puts": [{**row, "value": "bGF0ZQ=="}],
            "remove": [],
        }

        async def run():
            store = FakeStore()
            await store.start()
            store.delays_writes = True
            for _ in range(2):
                with self.assertRaises(ReplyLostError):
                    await self.call(store, "POST", "/v1/rows-tx", write)
            self.assertEqual(store.rows, {})
            store.apply_delayed_writes()
            return store.version, store.rows["t", "", "k"]["value"]

        self.assertEqual(curio.run(run), (1, "bGF0ZQ=="))

    def test_a_frozen_store_answers_once_it_goes_on(self):
        async def run():
            store = FakeStore()
            await store.start()
            for _ in range(2):
                await store.set_fault_plan(FaultPlan("freeze"))
                asking = await curio.spawn(
                    self.call, store, "GET", "/v1/rows-get?table=t&part="
                )
                await curio.sleep(0.1)
                self.assertFalse(asking.terminated)
                await store.set_fault_plan(FaultPlan())
                self.assertEqual((await asking.join()).status, 200)

        curio.run(run)


class WorkerTests(unittest.TestCase):
    def test_a_task_that_nobody_handed_in_is_noted(self):
        oracle = Oracle()
        spec = JobSpec(JOB_ID, "payload", (StepSpec(1, Resources(1, 1, 0)),))
        oracle.record_job(AcceptedJob(spec, QUEUE, 0, 0))
        body = {"task": f"{JOB_ID}.0.0.0", "run": 1, "until-ms": 9_000, "fence": 1}

        async def run():
            worker = SimulatedWorkerServer("w", oracle, Random(1), lambda: 0.0)
            await worker.start()
            client = HttpClient(HttpClientSettings(reply_s=REPLY_S))
            return [
                (
                    await client.request(
                        "POST",
                        worker.address,
                        "/v1/run-start",
                        value={**body, "spec": text},
                        headers={"x-expect-instance": "w"},
                    )
                ).status
                for text in ("other", "payload")
            ]

        self.assertEqual(curio.run(run), [400, 200])
        rules = [fault.rule for fault in oracle.faults({})]
        self.assertIn("UNASKED", rules)


class SoakTests(unittest.TestCase):
    def test_a_short_run_breaks_no_rule(self):
        with tempfile.TemporaryDirectory() as folder:
            settings = SoakSettings(hosts=3, workers=3, faults_s=5.0)
            result = SoakRun(1, settings, Path(folder)).run()
        self.assertEqual(result.faults, ())
        self.assertGreater(result.submission_replies[SubmissionReply.ACCEPTED], 0)


if __name__ == "__main__":
    unittest.main()
