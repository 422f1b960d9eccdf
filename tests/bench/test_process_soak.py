"""Tests of the process soak: its proxy, its fakes and a short run."""

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
# Timeout for replies that never arrive; a normal reply takes a fraction of it.
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

            async def send_request():
                try:
                    await client.request("GET", proxy.address, "/")
                except ReplyLostError:
                    return False
                return True

            return await action(proxy, send_request), len(server.received)

        return curio.run(run)

    def test_pass_forwards_requests_and_replies(self):
        async def action(_proxy, send_request):
            return await send_request()

        self.assertEqual(self.run_proxy(action), (True, 1))

    def test_one_way_forwards_the_request_and_drops_the_reply(self):
        async def action(proxy, send_request):
            proxy.mode = "one_way"
            return await send_request()

        self.assertEqual(self.run_proxy(action), (False, 1))

    def test_silent_drops_request_and_reply(self):
        async def action(proxy, send_request):
            proxy.mode = "silent"
            return await send_request()

        self.assertEqual(self.run_proxy(action), (False, 0))

    def test_reset_closes_the_connection(self):
        async def action(proxy, send_request):
            proxy.mode = "reset"
            return await send_request()

        self.assertEqual(self.run_proxy(action), (False, 0))

    def test_a_connection_that_lost_bytes_keeps_dropping_data(self):
        """Otherwise the soak would pass clients that reuse a partitioned connection."""

        async def action(proxy, _send_request):
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

    def test_a_delayed_write_is_applied_only_if_its_condition_holds(self):
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

    def test_a_frozen_store_replies_after_the_fault_is_cleared(self):
        async def run():
            store = FakeStore()
            await store.start()
            for _ in range(2):
                await store.set_fault_plan(FaultPlan("freeze"))
                pending_read = await curio.spawn(
                    self.call, store, "GET", "/v1/rows-get?table=t&part="
                )
                await curio.sleep(0.1)
                self.assertFalse(pending_read.terminated)
                await store.set_fault_plan(FaultPlan())
                self.assertEqual((await pending_read.join()).status, 200)

        curio.run(run)


class WorkerTests(unittest.TestCase):
    def test_starting_a_task_that_was_not_submitted_is_a_violation(self):
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
        rules = [fault.rule for fault in oracle.violations({})]
        self.assertIn("UNASKED", rules)


class SoakTests(unittest.TestCase):
    def test_a_short_run_has_no_violations(self):
        with tempfile.TemporaryDirectory() as folder:
            settings = SoakSettings(hosts=3, workers=3, faults_s=5.0)
            result = SoakRun(1, settings, Path(folder)).run()
        self.assertEqual(result.violations, ())
        self.assertGreater(result.submission_replies[SubmissionReply.ACCEPTED], 0)


if __name__ == "__main__":
    unittest.main()
