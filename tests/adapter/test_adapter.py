"""Tests of the adapters between the platform and the entry host."""

import json
import tempfile
import unittest
from pathlib import Path

import curio

from marigoldpath_bench.platform_fakes import FakeServer, FakeStore, configuration
from marigoldpath_core.fleet import (
    StartResult,
    StartRun,
    StopRun,
    TerminationReason,
    WorkerPoll,
    fencing_token,
)
from marigoldpath_core.jobs import AdvicePolicy, Resources, TaskKey
from marigoldpath_node.cell import (
    FencedError,
    HistoryGoneError,
    RowKey,
    StoreConflictError,
    StoreLostError,
    StoreRefusedError,
)
from marigoldpath_node.http import (
    HttpClient,
    HttpClientSettings,
    HttpRequest,
    HttpResponse,
)
from marigoldpath_platform._ingress import BadJobError, RouteIndex, decode_job_spec
from marigoldpath_platform._process import cell_settings
from marigoldpath_platform._settings import SettingsError, load_settings
from marigoldpath_platform._shared_tables import (
    PlatformDirectory,
    Route,
    decode_configuration,
    decode_entry,
)
from marigoldpath_platform._store import PlatformStore
from marigoldpath_platform._workers import (
    PlatformAdviceClient,
    PlatformWorkerClient,
    parse_task_name,
    task_name,
)
from tests.adapter.fake_worker import FakeWorker
from tests.node.cell_fakes import RecordingLogger

JOB_ID = "5c0e7a21d94b36f8"
TASK = TaskKey(JOB_ID, 0, 1, 17)
SETTINGS = {
    "node": "edge-split-1",
    "zone": "split",
    "ip": "10.1.0.13",
    "listen": {
        "ingress": "10.1.0.13:8161",
        "readiness": "10.1.0.13:8167",
        "control": "10.1.0.13:8166",
    },
    "platform": {"address": "10.200.1.7:8169"},
    "advice": None,
    "bounds": {"hold-max-ms": 6000, "require-fence": True},
    "a-new-field": {"to": "ignore"},
}


class SettingsTests(unittest.TestCase):
    def load(self, **changes):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps({**SETTINGS, **changes}))
            return load_settings(str(path))

    def test_unknown_fields_are_ignored(self):
        settings = self.load()
        self.assertEqual((settings.store, settings.advice), ("10.200.1.7:8169", ""))

    def test_the_cost_of_the_wrong_rack_is_passed_to_the_scheduler(self):
        settings = self.load(bounds={"remote-factor": 2.5})
        self.assertEqual(cell_settings(settings).fleet.remote_factor, 2.5)
        self.assertEqual(cell_settings(self.load()).fleet.remote_factor, 1.0)

    def test_all_problems_are_reported_with_key_and_valid_values(self):
        with self.assertRaises(SettingsError) as caught:
            self.load(node="", platform={"address": "nowhere"})
        message = str(caught.exception)
        self.assertIn("node: give a non-empty string", message)
        self.assertIn("platform.address: give IP:PORT, not 'nowhere'", message)

    def test_a_missing_file_is_reported(self):
        with self.assertRaisesRegex(SettingsError, "not a readable JSON file"):
            load_settings("/nowhere/settings.json")


class JobSpecTests(unittest.TestCase):
    def decode(self, data, job_id=JOB_ID):
        return decode_job_spec(job_id, json.dumps(data).encode())

    def test_omitted_fields_are_zero_false_or_empty(self):
        spec = self.decode({"spec": "text", "steps": [{"count": 4, "cpu": 500}]})
        (step,) = spec.steps
        self.assertEqual((step.width, step.need), (4, Resources(500, 0, 0)))
        self.assertEqual((step.after, step.gang, step.target_ms), ((), False, 0))

    def test_bad_input_names_the_field(self):
        cases = [
            ([], "must be an object"),
            ({}, "steps must be a list"),
            ({"steps": []}, "steps must be a list"),
            ({"steps": [{"count": 0}]}, r"steps\[0\].count"),
            ({"steps": [{"count": 1, "cpu": -1}]}, "cpu must be a number"),
            ({"steps": [{"count": 1, "after": [0]}]}, r"steps\[0\].after"),
            ({"spec": 5, "steps": [{"count": 1}]}, "spec must be a text"),
        ]
        for data, message in cases:
            with self.subTest(data=data):
                self.assertRaisesRegex(BadJobError, message, self.decode, data)

    def test_an_id_has_16_hexadecimal_digits(self):
        with self.assertRaisesRegex(BadJobError, "16 hexadecimal digits"):
            self.decode({"steps": [{"count": 1}]}, job_id="short")


class RouteTests(unittest.TestCase):
    ROUTES = (
        Route("a.example", "/q/", "short"),
        Route("a.example", "/q/deep/", "long"),
        Route("b.example", "/q/", "other"),
    )

    def find(self, host, path):
        request = HttpRequest("GET", path, {"host": host}, b"")
        route = RouteIndex(self.ROUTES).find(request)
        return route.queue if route else None

    def test_host_and_longest_prefix_select_the_queue(self):
        self.assertEqual(self.find("a.example", "/q/x"), "short")
        self.assertEqual(self.find("A.example:8161", "/q/deep/x"), "long")
        self.assertEqual(self.find("b.example", "/q/deep/x"), "other")
        self.assertIsNone(self.find("c.example", "/q/x"))
        self.assertIsNone(self.find("a.example", "/q"))


class SharedTableTests(unittest.TestCase):
    def test_a_configuration_is_decoded_into_queues_and_routes(self):
        advice = {"decide-ms": 20.5, "period-ms": 0.2, "valid-ms": 2500}
        value = json.dumps(configuration(7, advice=advice)).encode()
        decoded = decode_configuration(value)
        queue = decoded.cell_configuration.queues["queue"]
        self.assertEqual(decoded.cell_configuration.version, 7)
        self.assertEqual(queue.advice, AdvicePolicy(20.5, 0.2, 2500))
        self.assertEqual(decoded.routes, (Route("site.example", "/q/", "queue"),))

    def test_invalid_entries_are_skipped(self):
        good = FakeWorker("w")
        broken = [
            b"\xff\x00",
            b"[]",
            b"{}",
            {"state": "asleep"},
            {"capacity": {"cpu": "many", "mem-mb": 1}},
            {"address": 5},
            {"labels": [1]},
            {"born": "soon"},
            {"born": -1},
            {"born": 10**22},
            {"remaining-ms": -5},
            {"remaining-ms": 10**22},
            {"capacity": {"cpu": -1, "mem-mb": 1}},
            {"capacity": {"cpu": 1, "mem-mb": -1}},
            {"capacity": {"cpu": 1, "mem-mb": 1, "gpu": -1}},
            {"capacity": {"cpu": 10**22, "mem-mb": 1}},
            {"capacity": {"cpu": 1, "mem-mb": 1e300}},
            {"capacity": {"cpu": True, "mem-mb": 1}},
            {"address": "10.0.0.9:99999"},
            {"address": "10.0.0.9:0"},
            {"address": "10.0.0.9:-80"},
            {"address": "10.0.0.9:+80"},
            {"address": "10.0.0.9:8_0"},
            {"address": "10.0.0.9"},
            {"address": ":80"},
            {"address": "host.example:80"},
            {"address": "10.0.0.9 :80"},
            {"labels": "r1"},
            b'{"capacity": ' + b"[" * 60_000,
            b'{"born": ' + b"9" * 5_000 + b"}",
        ]

        async def run():
            store = FakeStore()
            await store.start()
            await good.start()
            store.put("servers", "good", good.entry())
            for number, change in enumerate(broken):
                entry = change
                if isinstance(change, dict):
                    entry = {**good.entry(), **change}
                store.put("servers", f"broken-{number}", entry)
            client = PlatformStore(HttpClient(HttpClientSettings()), store.address)
            return await PlatformDirectory(client, RecordingLogger()).list_workers()

        entries = curio.run(run)
        self.assertEqual([entry.worker_id for entry in entries], ["good"])

    def test_the_entry_of_a_draining_worker_has_its_remaining_time(self):
        entry = {
            **{
                "service": "s",
                "address": "10.0.0.9:1",
                "zone": "z",
                "labels": ["b", "r2"],
            },
            **{"capacity": {"cpu": 1, "mem-mb": 2}, "state": "draining"},
            "remaining-ms": 900,
        }
        found = decode_entry("w", json.dumps(entry).encode())
        self.assertEqual((found.draining, found.remaining_ms), (True, 900))
        self.assertEqual((found.rack, found.labels), ("r2", ("b", "r2")))


class StoreTests(unittest.TestCase):
    KEY = RowKey("jobs", "3", "key")

    def run_with_store(self, action):
        async def run():
            server = FakeStore()
            await server.start()
            client = HttpClient(HttpClientSettings(connect_s=0.2))
            return await action(server, PlatformStore(client, server.address))

        return curio.run(run)

    def test_a_conditional_write_is_applied_once(self):
        async def action(_server, store):
            await store.commit({self.KEY: 0}, {self.KEY: b"value"})
            with self.assertRaises(StoreConflictError) as caught:
                await store.commit({self.KEY: 0}, {self.KEY: b"other"})
            return caught.exception.rows, await store.read("jobs", "3")

        conflict, found = self.run_with_store(action)
        self.assertEqual(conflict[0].value, b"value")
        self.assertEqual([row.key for row in found.rows], [self.KEY])

    def test_a_range_of_many_rows_is_read_in_pages(self):
        async def action(server, store):
            for number in range(1_200):
                server.put("mp-jobs", f"{number:04}", b"x", part="3")
            return await store.read("jobs", "3", "0010", "1100")

        self.assertEqual(len(self.run_with_store(action).rows), 1_090)

    def test_all_pages_of_a_shared_table_are_read(self):
        """Guards against workers that get no tasks because only one page is read."""

        async def action(server, store):
            for number in range(1_200):
                server.put("servers", f"{number:04}", b"x")
            return await store.read_shared("servers")

        self.assertEqual(len(self.run_with_store(action).rows), 1_200)

    def test_the_result_of_a_write_with_an_invalid_reply_is_unknown(self):
        class Garbled(FakeServer):
            async def respond(self, request, body):
                return HttpResponse(200, b"not json")

        async def run():
            server = Garbled()
            await server.start()
            store = PlatformStore(HttpClient(HttpClientSettings()), server.address)
            await store.commit({}, {self.KEY: b"value"})

        self.assertRaises(StoreLostError, curio.run, run)

    def test_changes_after_a_version_are_returned(self):
        async def action(server, store):
            server.put("mp-jobs", "a", b"x")
            first = await store.changes("jobs", 0, 0)
            server.put("mp-jobs", "b", b"y")
            second = await store.changes("jobs", first.version, 500)
            return [row.key.key for row in (*first.rows, *second.rows)]

        self.assertEqual(self.run_with_store(action), ["a", "b"])

    def test_a_read_of_discarded_changes_raises(self):
        async def action(server, store):
            server.put("mp-jobs", "a", b"x")
            server.discard_history()
            await store.changes("jobs", 0, 0)

        self.assertRaises(HistoryGoneError, self.run_with_store, action)

    def test_a_refused_write_is_reported_as_not_applied(self):
        for status in (429, 503, 403):
            with self.subTest(status=status):

                async def action(server, store, status=status):
                    server.queued_statuses = [status]
                    await store.commit({}, {self.KEY: b"value"})

                self.assertRaises(StoreRefusedError, self.run_with_store, action)

    def test_the_result_of_a_write_without_a_reply_is_unknown(self):
        class Unresponsive(FakeServer):
            async def respond(self, request, body):
                raise ConnectionResetError

        async def run():
            server = Unresponsive()
            await server.start()
            store = PlatformStore(HttpClient(HttpClientSettings()), server.address)
            await store.commit({}, {self.KEY: b"value"})

        self.assertRaises(StoreLostError, curio.run, run)

    def test_a_write_without_a_connection_is_reported_as_not_applied(self):
        async def run():
            client = HttpClient(HttpClientSettings(connect_s=0.2))
            await PlatformStore(client, "127.0.0.1:1").commit({}, {self.KEY: b"v"})

        self.assertRaises(StoreRefusedError, curio.run, run)


class WorkerTests(unittest.TestCase):
    def run_with_worker(self, action):
        async def run():
            worker = FakeWorker("w")
            await worker.start()
            client = PlatformWorkerClient(HttpClient(HttpClientSettings(connect_s=0.2)))
            return await action(worker, client)

        return curio.run(run)

    def start_command(self, worker, worker_id="w", until_ms=5_000):
        return StartRun(
            worker_id, worker.address, TASK, 1, "payload", "", "", until_ms, 1_000
        )

    def test_a_parsed_task_name_equals_the_formatted_task(self):
        self.assertEqual(task_name(TASK), f"{JOB_ID}.0.1.17")
        self.assertEqual(parse_task_name(task_name(TASK)), TASK)

    def test_the_termination_of_a_started_run_is_reported(self):
        async def action(worker, client):
            reply = await client.start(self.start_command(worker), 3)
            poll = WorkerPoll(worker.address, 9_000, 0, 500)
            return reply, await client.poll("w", 3, poll)

        reply, report = self.run_with_worker(action)
        self.assertIs(reply.result, StartResult.STARTED)
        self.assertEqual([run.kind for run in report.ended], [TerminationReason.DONE])
        self.assertEqual((report.ended[0].task, report.incarnation), (TASK, 1_000))

    def test_refusals_of_a_start_have_distinct_results(self):
        async def action(worker, client):
            late = await client.start(self.start_command(worker, until_ms=0), 3)
            other = await client.start(self.start_command(worker, worker_id="x"), 3)
            fenced = await client.start(self.start_command(worker), 2)
            return [late.result, other.result, fenced.result]

        expected = [
            StartResult.EXPIRED,
            StartResult.INCARNATION_MISMATCH,
            StartResult.FENCED,
        ]
        self.assertEqual(self.run_with_worker(action), expected)

    def test_a_start_is_not_sent_to_a_later_incarnation_of_the_worker(self):
        """Guards against the execution of a command that a replaced leader sent.

        The new incarnation has seen no epoch, so it would not reject the command.
        """

        async def action(worker, client):
            worker.incarnation = 2_000
            return (
                await client.start(self.start_command(worker), 3)
            ).result, worker.starts

        self.assertEqual(
            self.run_with_worker(action), (StartResult.INCARNATION_MISMATCH, [])
        )

    def test_the_incarnation_is_verified_once_for_each_connection(self):
        async def action(worker, client):
            for number in (1, 2, 3):
                command = self.start_command(worker)._replace(run=number)
                await client.start(command, 3)
            return [path.rpartition("/")[2] for _, path, _ in worker.received]

        self.assertEqual(self.run_with_worker(action), ["hold"] + 3 * ["run-start"])

    def test_a_fenced_poll_or_stop_raises(self):
        async def action(worker, client):
            worker.fence = fencing_token(9, 0)
            with self.assertRaises(FencedError):
                await client.poll("w", 3, WorkerPoll(worker.address, None, 0, 0))
            with self.assertRaises(FencedError):
                await client.stop(StopRun("w", worker.address, TASK, 1), 3)

        self.run_with_worker(action)

    def test_a_start_without_a_connection_is_reported_as_not_sent(self):
        async def run():
            client = PlatformWorkerClient(HttpClient(HttpClientSettings(connect_s=0.2)))
            command = StartRun("w", "127.0.0.1:1", TASK, 1, "", "", "", 5, 1_000)
            return (await client.start(command, 1)).result

        self.assertIs(curio.run(run), StartResult.NOT_SENT)


class AdviceTests(unittest.TestCase):
    def request_advice(self, status, body):
        class Service(FakeServer):
            async def respond(self, request, _body):
                from marigoldpath_node.http import json_response

                return json_response(status, body)

        async def run():
            service = Service()
            await service.start()
            client = HttpClient(HttpClientSettings())
            advice = PlatformAdviceClient(client, service.address, RecordingLogger())
            return await advice.request_advice(
                TASK, ("w1", "w2"), 20.0
            ), service.received

        return curio.run(run)

    def test_approved_workers_get_tickets(self):
        tickets, calls = self.request_advice(200, {"approved": [["w1", "ticket"]]})
        self.assertEqual(tickets, {"w1": "ticket"})
        self.assertEqual(
            calls[0][2], {"step": f"{JOB_ID}.0.1", "workers": ["w1", "w2"]}
        )

    def test_a_busy_service_returns_no_tickets(self):
        self.assertIsNone(self.request_advice(429, {})[0])


if __name__ == "__main__":
    unittest.main()
