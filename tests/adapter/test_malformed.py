"""Fuzz tests of everything that other programs send to an entry host.

They guard against one malformed message that ends a process or a term of leadership:
the next leader would read the same message and end too. Each message is a valid one
with one value replaced, or any JSON at all.
"""

import base64
import contextlib
import copy
import json
import tempfile
import unittest
from pathlib import Path

import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldpath_core.fleet import (
    FleetScheduler,
    FleetSettings,
    RosterEntry,
    StartRun,
    WorkerPoll,
    WorkersListed,
)
from marigoldpath_core.jobs import TaskKey
from marigoldpath_node.cell import (
    FencedError,
    RowKey,
    StoreError,
    WorkerFailedError,
    serve_peer,
)
from marigoldpath_node.cell._codec import encode_job
from marigoldpath_node.cell._peers import (
    FollowerStatus,
    LeaderStatus,
    PeerClient,
    PeerError,
)
from marigoldpath_node.cell._records import (
    job_row_key,
    plan_load,
    read_all,
    read_state,
)
from marigoldpath_node.http import (
    HttpClient,
    HttpClientSettings,
    HttpRequest,
    HttpResponse,
    NotSentError,
)
from marigoldpath_platform._ingress import decode_job_spec
from marigoldpath_platform._settings import SettingsError, load_settings
from marigoldpath_platform._shared_tables import (
    PlatformDirectory,
    decode_configuration,
)
from marigoldpath_platform._store import PlatformStore
from marigoldpath_platform._workers import PlatformAdviceClient, PlatformWorkerClient
from tests.adapter.ingress_fixture import create_ingress
from tests.core.fleet_fixture import FleetHarness, entry, job, step
from tests.node.cell_fakes import (
    QUEUE,
    MemoryStore,
    RecordingLogger,
    entry_host,
)

EXAMPLES = settings(max_examples=150, deadline=None)
JOB_ID = "5c0e7a21d94b36f8"
TASK = TaskKey(JOB_ID, 0, 0, 0)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=6)
)
ANY_JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)
DEEP_JSON = b"[" * 200_000

REPORT = {
    "clock-ms": 12_000,
    "born": 1_000,
    "running": [[f"{JOB_ID}.0.0.0", 1, "", 40, 3]],
    "finished": [[1, f"{JOB_ID}.0.0.1", 1, "done", ""]],
}
WORKER = {
    "service": "service",
    "address": "10.0.0.9:80",
    "zone": "split",
    "state": "ready",
    "capacity": {"cpu": 4_000, "mem-mb": 8_192, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 1_000,
    "remaining-ms": 0,
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "queue",
            "host": "a.example",
            "prefix": "/q/",
            "service": "service",
            "priority": 0,
            "attempts": 3,
            "stretch": 1.5,
            "target-duration-ms": 300,
            "advice": {"decide-ms": 20.0, "period-ms": 0.5, "valid-ms": 2_000.0},
        }
    ],
}
KEYED_CONFIGURATION = {
    "version": 4,
    "routes": [{**CONFIGURATION["routes"][0], "public": True}],
    "tenants": [
        {
            "name": "a",
            "api-keys": ["key"],
            "weight": 2.0,
            "max-count": {"cpu": 4_000, "mem-mb": 0, "gpu": 0},
            "priority": 1,
        }
    ],
    "limits": {"max-body-bytes": 262_144, "idle-timeout-ms": 15_000},
}
SUBMISSION = {
    "spec": "text",
    "steps": [{"count": 2, "cpu": 500, "mem-mb": 64}, {"count": 1, "after": [0]}],
    "times": 0,
}
ROW = {"table": "mp-jobs", "part": "", "key": "a", "value": "e30=", "ver": 4}
SETTINGS_FILE = {
    "node": "edge-split-1",
    "zone": "split",
    "ip": "10.1.0.13",
    "listen": {"ingress": "10.1.0.13:81", "control": "10.1.0.13:82"},
    "platform": {"address": "10.200.1.7:8169"},
    "limits": {"cores": 2, "cpu-share": 0.5},
    "bounds": {"hold-max-ms": 6000},
}


def paths(value, prefix=()):
    """Return the path of each value inside a JSON value."""
    found = [prefix]
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found.extend(paths(inner, (*prefix, key)))
    return found


@st.composite
def malformed(draw, valid):
    """Return any JSON, or the valid message with one value replaced or left out."""
    path = draw(st.sampled_from(paths(valid)))
    if not path:
        return draw(ANY_JSON)
    message = copy.deepcopy(valid)
    parent = message
    for key in path[:-1]:
        parent = parent[key]
    if draw(st.booleans()) and isinstance(parent, dict):
        del parent[path[-1]]
    else:
        parent[path[-1]] = draw(ANY_JSON)
    return message


class CannedClient:
    """Replies to each request with the same body and status."""

    def __init__(self, body, status=200):
        self.response = HttpResponse(status, body)

    async def request(self, *_arguments, **_options):
        return self.response

    async def close_pool(self, *_arguments):
        pass


def encoded(message):
    return json.dumps(message).encode()


class WorkerReplyTests(unittest.TestCase):
    """No reply of a worker ends a term of leadership."""

    def harness(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(job(step(width=2), job_id=JOB_ID))
        return harness, harness.dispatch_starts()

    @EXAMPLES
    @given(malformed(REPORT))
    def test_a_report_is_applied_or_the_worker_counts_as_failed(self, message):
        client = PlatformWorkerClient(CannedClient(encoded(message)))
        harness, _ = self.harness()
        poll = WorkerPoll("10.0.0.9:80", None, 0, 0)
        try:
            report = curio.run(client.poll, "a", 1, poll)
        except (WorkerFailedError, FencedError):
            return
        harness.handle(report)
        harness.advance(100)
        harness.dispatch()
        harness.commit()

    def test_a_number_that_is_too_large_counts_as_failed(self):
        """Guards against OverflowError when the scheduler divides it."""
        run = REPORT["running"][0]
        ended = REPORT["finished"][0]
        for number in (2**53, 10**20, 10**400, -(10**400)):
            for message in (
                {**REPORT, "clock-ms": number},
                {**REPORT, "born": number},
                {**REPORT, "running": [[*run[:3], number, *run[4:]]]},
                {**REPORT, "running": [[*run[:4], number]]},
                {**REPORT, "finished": [[number, *ended[1:]]]},
            ):
                client = PlatformWorkerClient(CannedClient(encoded(message)))
                with (
                    self.subTest(message=message),
                    self.assertRaises(WorkerFailedError),
                ):
                    poll = WorkerPoll("10.0.0.9:80", None, 0, 0)
                    curio.run(client.poll, "a", 1, poll)

    def test_a_clock_that_is_too_large_is_not_used(self):
        """Guards against OverflowError when the scheduler measures a duration."""
        client = PlatformWorkerClient(CannedClient(encoded({"clock-ms": 10**400})))
        _, (command, _) = self.harness()
        self.assertEqual(curio.run(client.start, command, 1).clock_ms, 0)

    @EXAMPLES
    @given(
        malformed({"clock-ms": 12_000, "reason": "late"}),
        st.sampled_from([200, 409, 421, 429, 500]),
    )
    def test_any_reply_to_a_start_has_a_result(self, message, status):
        client = PlatformWorkerClient(CannedClient(encoded(message), status))
        harness, (command, _) = self.harness()
        reply = curio.run(client.start, command, 1)
        harness.handle(reply)
        harness.dispatch()

    @EXAMPLES
    @given(malformed({"approved": [["a", "ticket"]]}))
    def test_advice_has_tickets_as_texts_or_counts_as_failed(self, message):
        client = PlatformAdviceClient(
            CannedClient(encoded(message)), "10.0.0.8:80", RecordingLogger()
        )
        tickets = curio.run(client.request_advice, TASK, ("a",), 20.0)
        for worker_id, ticket in (tickets or {}).items():
            self.assertIsInstance(worker_id, str)
            self.assertIsInstance(ticket, str)

    def test_a_reply_that_is_nested_too_deeply_counts_as_failed(self):
        client = PlatformWorkerClient(CannedClient(DEEP_JSON))
        with self.assertRaises(WorkerFailedError):
            curio.run(client.poll, "a", 1, WorkerPoll("10.0.0.9:80", None, 0, 0))

    def test_an_address_or_id_that_cannot_be_sent_counts_as_failed(self):
        """The directory passes on what the workers say of themselves."""
        client = HttpClient(HttpClientSettings())
        for address, worker_id in (
            ("10.0.0.9:99999999", "a"),
            ("nowhere", "a"),
            ("127.0.0.1:9", "é"),
            ("127.0.0.1:9", "a\r\nb"),
        ):
            with self.subTest(address=address, worker_id=worker_id):
                worker = PlatformWorkerClient(client)
                command = StartRun(
                    worker_id, address, TASK, 1, "", "", "", 1_000, 1_000
                )
                with self.assertRaises(WorkerFailedError):
                    poll = WorkerPoll(address, None, 0, 0)
                    curio.run(worker.poll, worker_id, 1, poll)
                self.assertEqual(
                    curio.run(worker.start, command, 1).result.value, "not_sent"
                )


class StoreReplyTests(unittest.TestCase):
    """No answer of the store, and no row of another writer, ends a loop."""

    @EXAMPLES
    @given(malformed({"rows": [ROW], "ver": 4, "has-more": False}))
    def test_an_answer_is_decoded_or_counts_as_lost(self, message):
        for status in (200, 412):
            store = PlatformStore(CannedClient(encoded(message), status), "10.0.0.7:80")
            calls = (
                (store.changes, ("jobs", 0, 0)),
                (store.commit, ({RowKey("jobs", "", "a"): 0}, {})),
            )
            for call, arguments in calls:
                try:
                    curio.run(call, *arguments)
                except StoreError:
                    pass
                except Exception as error:
                    self.assertEqual(type(error).__name__, "StoreConflictError")

    @EXAMPLES
    @given(malformed(WORKER) | st.none())
    def test_an_entry_of_a_worker_is_decoded_or_omitted(self, message):
        raw = DEEP_JSON[:60_000] if message is None else encoded(message)
        value = base64.b64encode(raw).decode()
        row = {"table": "servers", "part": "", "key": "a", "value": value, "ver": 4}
        store = PlatformStore(
            CannedClient(encoded({"rows": [row], "ver": 4})), "10.0.0.7:80"
        )
        directory = PlatformDirectory(store, RecordingLogger())
        entries = curio.run(directory.list_workers)
        roster = {each.worker_id: RosterEntry(each.address, None) for each in entries}
        scheduler = FleetScheduler(FleetSettings(), 1, roster, 0.0)
        scheduler.handle(WorkersListed(entries), 1.0)
        scheduler.dispatch(2.0)

    def test_very_many_invalid_entries_have_a_limited_number_of_lines(self):
        """Guards against a log that other programs fill through the directory."""
        rows = [
            {"table": "servers", "part": "", "key": str(number), "value": "", "ver": 4}
            for number in range(400)
        ]
        store = PlatformStore(
            CannedClient(encoded({"rows": rows, "ver": 4})), "10.0.0.7:80"
        )
        log = RecordingLogger()
        directory = PlatformDirectory(store, log)
        for _ in range(3):
            self.assertEqual(curio.run(directory.list_workers), ())
        self.assertEqual(log.events().count("worker_entry_invalid"), 10)
        totals = [
            fields for event, fields in log.lines if event.endswith("entries_invalid")
        ]
        self.assertEqual(totals, [{"new": 400, "total": 400}])

    @EXAMPLES
    @given(malformed(CONFIGURATION) | malformed(KEYED_CONFIGURATION))
    def test_a_configuration_is_decoded_or_refused(self, message):
        try:
            configuration = decode_configuration(encoded(message))
        except (ValueError, KeyError, TypeError):
            return
        for workspace in configuration.cell_configuration.workspaces.values():
            self.assertGreater(workspace.weight, 0)
            self.assertGreaterEqual(min(workspace.quota), 0)
        for queue in configuration.cell_configuration.queues.values():
            harness = FleetHarness(entry("a"))
            harness.report_all()
            harness.accept(job(step(), queue=queue))
            harness.dispatch()


class LargeNumberTests(unittest.TestCase):
    """Guards against a configuration that ends the term of every leader.

    JSON permits integers that no float can hold; the scheduler computes with floats.
    """

    def test_an_integer_that_no_float_can_hold_is_refused(self):
        route = CONFIGURATION["routes"][0]
        for number in (10**400, -(10**400)):
            advice = {**route["advice"], "decide-ms": number}
            for fields in (
                {"stretch": number},
                {"target-duration-ms": number},
                {"advice": advice},
            ):
                with self.subTest(fields=str(fields)[:40]):
                    message = {**CONFIGURATION, "routes": [{**route, **fields}]}
                    with self.assertRaises(ValueError):
                        decode_configuration(encoded(message))


class StoredRowTests(unittest.TestCase):
    """A row that cannot be decoded costs its job, not the whole cell."""

    def store(self, progress=None):
        store = MemoryStore()
        good = job(step(), job_id=JOB_ID, queue=QUEUE)
        other = "0" * 16
        rows = {
            job_row_key(JOB_ID): encode_job(good),
            job_row_key(other): b"{" if progress is None else encode_job(good),
        }

        async def write():
            for key, value in rows.items():
                await store.commit({}, {key: value})
            if progress is not None:
                key = RowKey("progress", "leader", other)
                await store.commit({}, {key: progress})

        curio.run(write)
        return store, other

    def test_the_other_jobs_are_loaded(self):
        for progress in (None, b"[]", DEEP_JSON[:60_000], b'{"state":"gone"}'):
            with self.subTest(progress=progress and progress[:20]):
                store, other = self.store(progress)
                stored = curio.run(read_all, store, plan_load(1_000.0))
                self.assertEqual(set(stored.jobs), {JOB_ID})
                self.assertEqual(stored.unreadable, {other})

    def test_the_state_of_the_job_is_not_said_to_be_missing(self):
        """Guards against callers that are told a stored job does not exist."""
        for progress in (None, b"[]"):
            store, other = self.store(progress)
            with self.assertRaises(StoreError):
                curio.run(read_state, store, other)


class CallerRequestTests(unittest.TestCase):
    """Every request of a caller gets an answer that names what is wrong."""

    def submit(self, body):
        ingress = create_ingress(entry_host(MemoryStore()))
        ingress.set_configuration(decode_configuration(encoded(CONFIGURATION)))
        request = HttpRequest("POST", f"/q/{JOB_ID}", {"host": "a.example"}, body)
        return curio.run(ingress.handle, request)

    @EXAMPLES
    @given(malformed(SUBMISSION))
    def test_a_submission_is_accepted_or_refused_as_bad(self, message):
        self.assertIn(self.submit(encoded(message)).status, (200, 400))

    def test_a_number_that_is_too_large_is_refused(self):
        """Guards against a stored job that ends the term of every leader.

        The estimate in particular is divided, which raises OverflowError for an integer
        that no float can hold.
        """
        for number in (2**53, 10**300, 10**400, 1e18, 1e308):
            for field in ("estimate-ms", "cpu", "mem-mb", "gpu", "target-ms"):
                steps = [{**SUBMISSION["steps"][0], field: number}]
                with self.subTest(field=field, number=number):
                    body = encoded({**SUBMISSION, "steps": steps})
                    self.assertEqual(self.submit(body).status, 400)
            for field in ("times", "start-at-ms", "interval-ms"):
                with self.subTest(field=field, number=number):
                    body = encoded({**SUBMISSION, field: number})
                    self.assertEqual(self.submit(body).status, 400)

    def test_a_job_with_the_largest_numbers_does_not_end_a_term(self):
        """Guards against a limit on numbers that is too high for the scheduler."""
        step_numbers = dict.fromkeys(("estimate-ms", "target-ms"), 2**53 - 1)
        for width in (1, 10_000):
            steps = [{**SUBMISSION["steps"][0], **step_numbers, "count": width}]
            spec = decode_job_spec(JOB_ID, encoded({**SUBMISSION, "steps": steps}))
            harness = FleetHarness(entry("a"))
            harness.report_all()
            harness.accept(job(*spec.steps))
            harness.dispatch()
            harness.scheduler.backlog(harness.now_ms)

    def test_a_target_that_is_no_url_is_refused(self):
        """Guards against a 502, after which a client repeats what is never served."""
        ingress = create_ingress(entry_host(MemoryStore()))
        ingress.set_configuration(decode_configuration(encoded(CONFIGURATION)))
        for target in ("//[", "http://[/q/", "//]/q/"):
            with self.subTest(target=target):
                request = HttpRequest("GET", target, {"host": "a.example"}, b"")
                self.assertEqual(curio.run(ingress.handle, request).status, 400)
                response = curio.run(serve_peer, entry_host(MemoryStore()), request)
                self.assertEqual(response.status, 400)

    def test_a_body_that_is_no_json_is_refused(self):
        for body in (b"", b"{", b"\xff\xfe", DEEP_JSON):
            with self.subTest(body=body[:10]):
                self.assertEqual(self.submit(body).status, 400)


class PeerMessageTests(unittest.TestCase):
    """No message of another entry host ends the handler or the term."""

    STATUS = FollowerStatus("10.0.0.2:1", 1.0)._asdict()

    @EXAMPLES
    @given(
        st.sampled_from(["view", "job", "cancel", "state", "pending", "store-job"]),
        malformed(STATUS) | malformed({"job": "{}"}),
    )
    def test_a_call_is_served_or_refused(self, name, message):
        host = entry_host(MemoryStore())
        request = HttpRequest("POST", f"/v1/cell/{name}", {}, encoded(message))
        response = curio.run(serve_peer, host, request)
        self.assertIn(response.status, (200, 400, 409))

    @EXAMPLES
    @given(malformed(json.loads(json.dumps(LeaderStatus(3, "t", 0.5, {})._asdict()))))
    def test_a_reply_is_decoded_or_counts_as_failed(self, message):
        peers = PeerClient(CannedClient(encoded(message)), 0.5)
        calls = (
            (peers.exchange_status, ("10.0.0.2:1", FollowerStatus("10.0.0.1:1", 1.0))),
            (peers.store_job, ("10.0.0.2:1", job(step()))),
            (peers.state, ("10.0.0.2:1", JOB_ID)),
            (peers.pending, ("10.0.0.2:1",)),
        )
        for call, arguments in calls:
            try:
                curio.run(call, *arguments)
            except PeerError:
                continue


class SettingsFileTests(unittest.TestCase):
    """A settings file is loaded, or all its problems are named."""

    @EXAMPLES
    @given(malformed(SETTINGS_FILE))
    def test_a_settings_file_is_loaded_or_refused(self, message):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_bytes(encoded(message))
            with contextlib.suppress(SettingsError):
                load_settings(str(path))


class HttpClientTests(unittest.TestCase):
    def test_a_header_that_cannot_be_sent_is_not_sent(self):
        client = HttpClient(HttpClientSettings())
        with self.assertRaises(NotSentError):
            curio.run(
                lambda: client.request("GET", "127.0.0.1:9", "/", headers={"a": "é"})
            )
