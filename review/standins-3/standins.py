"""Stand-ins for the users' platform: the metadata store, workers, callers and hosts.

They use the standard library alone and speak what PROTOCOL.md says. All of them run in one
asyncio loop, in one process; the entry hosts are processes of their own, started with the
command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SITE = "site.example"
PORT_BASE = 7720
FINISHED_PER_REPLY = 500
# The bounds of the settings file of skala-raspored.
BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "rollback-slack-ms": 250, "max-stretch-ms": 5000, "recovery-s": 12, "hold-max-ms": 6000,
    "stop-ms": 900, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "remote-factor": 2,
    "checkpoint-interval-s": 2, "restore-ms": 100, "notice-ms": 4500, "migrate-s": 1.5,
    "maintenance-s": 2, "require-fence": True, "lease-ms": 3000, "thaw-ms": 300,
    "pace-ms": 100, "harm-ms": 4000,
}


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w", buffering=1)

    def now(self):
        return time.monotonic() - self._began

    def add(self, *words):
        self._file.write(f"{self.now():9.4f} " + " ".join(map(str, words)) + "\n")


class NoAnswer(Exception):
    """The connection ends without an answer."""


class Server:
    """An HTTP/1.1 server with JSON bodies on a loopback address."""

    def __init__(self):
        self.connections = set()
        self._server = None
        self.address = ""

    async def start(self, ip="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=512)
        host, number = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{number}"

    async def close(self):
        """Stop listening, so that connections are refused, and reset the open ones."""
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                (method, target, _), headers, body = request
                status, data = await self.respond(method, target, headers, body)
                payload = json.dumps(data).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, NoAnswer, ValueError):
            pass
        except asyncio.CancelledError:
            # The loop ends.
            return
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def respond(self, method, target, headers, body):
        raise NotImplementedError


async def read_message(reader):
    """Return the first line, the headers and the body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0].split(" ", 2), headers, body


class Store(Server):
    """The platform's metadata store, in the form `table`.

    `mode` is `up`, `busy` (503: nothing is done), `silent` (no answer), or `lost` (writes
    are done and not answered).
    """

    TX_S = 0.008
    GET_S = 0.004

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.changes = []
        self.version = 0
        self.mode = "up"
        self.changed = asyncio.Event()
        self._began = time.monotonic()
        self.on_call = None

    def put(self, table, key, value, part=""):
        """Write a row, as the operator or a worker does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply([], [{"table": table, "part": part, "key": key,
                          "value": base64.b64encode(data).decode()}], [])

    def drop(self, table, key, part=""):
        self._apply([], [], [{"table": table, "part": part, "key": key}])

    def _apply(self, expected, puts, removals):
        current = []
        fits = True
        for row in expected:
            found = self.rows.get((row["table"], row.get("part", ""), row["key"]))
            current.append(found or {"table": row["table"], "part": row.get("part", ""),
                                     "key": row["key"], "ver": 0})
            fits = fits and current[-1]["ver"] == row["ver"]
        if not fits:
            return current
        self.version += 1
        for row in puts:
            stored = {"table": row["table"], "part": row.get("part", ""), "key": row["key"],
                      "value": row["value"], "ver": self.version}
            self.rows[stored["table"], stored["part"], stored["key"]] = stored
            self.changes.append(stored)
        for row in removals:
            key = row["table"], row.get("part", ""), row["key"]
            if self.rows.pop(key, None) is not None:
                self.changes.append({"table": key[0], "part": key[1], "key": key[2],
                                     "ver": self.version, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()
        return None

    async def respond(self, method, target, headers, body):
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            return 503, {}
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        now_ms = int((time.monotonic() - self._began) * 1000)
        if self.on_call is not None:
            await self.on_call(method, url.path, query, body)
        if url.path == "/v1/rows-tx":
            await asyncio.sleep(self.TX_S)
            data = json.loads(body)
            entries = data.get("expect-rev", []) + data.get("puts", []) + data.get("remove", [])
            if len({row.get("part", "") for row in entries}) > 1 or len(entries) > 100:
                return 400, {}
            if any(row["table"] in ("op", "servers") for row in data.get("puts", [])):
                return 403, {}
            conflict = self._apply(data.get("expect-rev", []), data.get("puts", []),
                                   data.get("remove", []))
            if self.mode == "lost":
                raise NoAnswer
            if conflict is not None:
                return 412, {"rows": conflict, "ver": self.version, "now-ms": now_ms}
            return 200, {"ver": self.version, "now-ms": now_ms}
        if url.path == "/v1/rows-get":
            await asyncio.sleep(self.GET_S)
            low, high = query.get("from", ""), query.get("to")
            rows = [row for (table, part, key), row in sorted(self.rows.items())
                    if table == query["table"] and part == query.get("part", "")
                    and key >= low and (high is None or key < high)]
            limit = min(500, int(query.get("limit", 500)))
            return 200, {"rows": rows[:limit], "has-more": len(rows) > limit,
                         "ver": self.version, "now-ms": now_ms}
        if url.path == "/v1/rows-feed":
            until = time.monotonic() + min(30000, int(query.get("wait-ms", 0))) / 1000
            while True:
                event = self.changed
                rows = [row for row in self.changes if row["ver"] > int(query["after"])
                        and row["table"] == query["table"]]
                left = until - time.monotonic()
                if rows or left <= 0:
                    break
                try:
                    await asyncio.wait_for(event.wait(), left)
                except asyncio.TimeoutError:
                    pass
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "busy":
                    return 503, {}
            await asyncio.sleep(self.GET_S)
            return 200, {"rows": rows, "ver": self.version, "now-ms": now_ms}
        return 404, {}


class Run:
    def __init__(self, task, number, work_s, fails):
        self.task, self.number, self.fails = task, number, fails
        self.work_s = work_s
        self.began = time.monotonic()
        self.ends_at = self.began + work_s if work_s is not None else None
        self.stops_at = None


class Worker(Server):
    """A sound worker: one id, one or more incarnations, without a guard of its capacity.

    A job's `spec` text tells how long its tasks take: {"work_ms": N}.
    """

    def __init__(self, worker_id, record, store, cpu=64000, mem=262144, zone="split",
                 labels=("a", "r1-1")):
        super().__init__()
        self.worker_id, self.record, self.store = worker_id, record, store
        self.capacity = {"cpu": cpu, "mem-mb": mem, "gpu": 0}
        self.zone, self.labels = zone, list(labels)
        self.service = "niti"
        self.seq = 0
        self.is_up = False
        self.starts = []  # (time, task, run, worker, incarnation)
        self.ends = []  # (time, task, run, how, worker, incarnation)
        # The time at which `last-seen` reached an end, by incarnation and number.
        self.noted = {}
        self.refused = []
        self.lapses = []
        self.on_start = None
        self.heartbeat_s = 0.0
        # Cut off: no call gets through, and nothing is written to the store.
        self.is_cut = False
        self.held_s = 0.0
        self._boot()

    def _boot(self):
        self.born = int(time.time() * 1000)
        self._t0 = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.lapsed_ms = -1
        self.running = {}
        self.finished = []
        self.count = 0
        self.highest = {}
        self.acked = 0
        self.ended = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self._t0) * 1000 * 0.995)

    async def boot(self, ip="127.0.0.1", port=0):
        await self.start(ip, port)
        self.is_up = True
        self.task = asyncio.create_task(self._run())

    async def crash(self):
        """The process ends: its connections are refused, and what runs on it is gone."""
        self.is_up = False
        self.task.cancel()
        await self.close()
        self.record.add("CRASH", self.worker_id, "running", len(self.running))
        now = time.monotonic()
        for run in self.running.values():
            self.ends.append((now, run.task, run.number, "crashed", self.worker_id, self.born))
        self.running = {}

    async def reboot(self):
        """Start again under the same id and address, as a new incarnation."""
        ip, _, port = self.address.rpartition(":")
        self._boot()
        await self.boot(ip, int(port))
        self.write_entry()
        self.record.add("REBOOT", self.worker_id, "born", self.born)

    def entry(self, state="ready"):
        self.seq += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "1", "slots": 8, "state": state, "cold-left-ms": 0,
                "seq": self.seq, "capacity": self.capacity, "labels": self.labels,
                "born": self.born}

    def write_entry(self, state="ready"):
        self.heartbeat_s = time.monotonic()
        self.store.put("servers", self.worker_id, self.entry(state))

    async def _run(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if now - last > 1.5 and self.store.mode != "busy" and not self.is_cut:
                last = now
                self.write_entry()
            if self.clock_ms() > self.until_ms:
                if not self.lapses or self.until_ms != self.lapsed_ms:
                    self.lapses.append(now)
                    self.lapsed_ms = self.until_ms
                for task in list(self.running):
                    self._end(task, "lapsed")
                continue
            for task, run in list(self.running.items()):
                if run.stops_at is not None and now >= run.stops_at:
                    self._end(task, "stopped")
                elif run.ends_at is not None and now >= run.ends_at:
                    self._end(task, "failed" if run.fails else "done")

    def _end(self, task, how):
        run = self.running.pop(task)
        self.count += 1
        self.finished.append([self.count, task, run.number, how, ""])
        self.ends.append((time.monotonic(), task, run.number, how, self.worker_id, self.born))
        self.record.add("END", self.worker_id, task, run.number, how, "no", self.count)
        self.ended.set()
        self.ended = asyncio.Event()

    def _extend(self, until_ms):
        if until_ms:
            self.until_ms = max(self.until_ms,
                                min(until_ms, self.clock_ms() + BOUNDS["hold-max-ms"]))

    async def respond(self, method, target, headers, body):
        if self.is_cut:
            await asyncio.sleep(3600)
        if headers.get("x-expect-instance") != self.worker_id:
            return 421, {"clock-ms": self.clock_ms()}
        data = json.loads(body)
        path = urlsplit(target).path
        if data.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = data.get("fence", 0)
        if path == "/v1/hold":
            return await self._hold(data)
        if path == "/v1/run-start":
            return self._start(data)
        if path == "/v1/run-stop":
            task, number = data["task"], data["run"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            run = self.running.get(task)
            if run is not None and run.number == number and run.stops_at is None:
                run.stops_at = time.monotonic() + 0.2
            self.record.add("STOP", self.worker_id, task, number)
            return 200, {"clock-ms": self.clock_ms()}
        if path == "/v1/pace":
            return 200, {"clock-ms": self.clock_ms()}
        return 404, {}

    def _start(self, data):
        clock_ms = self.clock_ms()
        task, number = data["task"], data["run"]
        if data.get("until-ms", 0) <= clock_ms:
            return 409, {"clock-ms": clock_ms, "reason": "late"}
        self._extend(data["until-ms"])
        current = self.running.get(task)
        if current is not None and current.number == number:
            return 200, {"clock-ms": clock_ms}
        if current is not None or number <= self.highest.get(task, 0):
            return 409, {"clock-ms": clock_ms, "reason": "old"}
        self.highest[task] = number
        work = json.loads(data["spec"]).get("work_ms")
        self.running[task] = Run(task, number, None if work is None else work / 1000, False)
        self.starts.append((time.monotonic(), task, number, self.worker_id, self.born))
        self.record.add("START", self.worker_id, task, number)
        if self.on_start is not None:
            self.on_start(self, task, number)
        return 200, {"clock-ms": clock_ms}

    async def _hold(self, data):
        born = self.born
        self._extend(data.get("until-ms"))
        self.held_s = time.monotonic()
        seen = data.get("last-seen", 0)
        if seen > self.acked:
            self.acked = seen
            now = time.monotonic()
            while self.finished and self.finished[0][0] <= seen:
                number, task, run, how, _ = self.finished.pop(0)
                self.noted[born, task, run] = now
        until = time.monotonic() + min(2000, data.get("wait-ms", 0)) / 1000
        while not self.finished:
            event, left = self.ended, until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.born != born:
            raise NoAnswer
        if self.is_cut:
            await asyncio.sleep(3600)
        now = time.monotonic()
        running = []
        for run in self.running.values():
            percent = 100
            if run.work_s is not None:
                percent = min(99, int(100 * (now - run.began) / max(run.work_s, 0.001)))
            running.append([run.task, run.number, "", percent, 0])
        return 200, {"clock-ms": self.clock_ms(), "born": self.born, "running": running,
                     "finished": self.finished[:FINISHED_PER_REPLY]}


class Host:
    """One entry host: the program of the deploy file as a process."""

    def __init__(self, number, store_address, folder, zone="split", advice="127.0.0.1:9"):
        self.number = number
        self.ip = f"127.{os.getpid() % 200 + 20}.{number + 1}.1"
        self.name = f"edge-{zone}-{number + 1}"
        self.folder = Path(folder)
        ports = free_ports(self.ip, 3)
        self.ingress = f"{self.ip}:{ports[0]}"
        self.control = f"{self.ip}:{ports[2]}"
        self.settings = self.folder / f"{self.name}.json"
        self.settings.write_text(json.dumps({
            "node": self.name, "role": "entry", "machine-class": "edge",
            "serves": ["edge", "control"], "ip": self.ip, "zone": zone, "region": "jadran",
            "zones": {"split": "jadran", "zadar": "jadran"},
            "listen": {"ingress": self.ingress, "readiness": f"{self.ip}:{ports[1]}",
                       "control": self.control},
            "port-range": [PORT_BASE, PORT_BASE + 15], "seeds": [self.control],
            "bootstrap": True, "loss-counts": False,
            "limits": {"cpu-share": 0.537, "cores": 2, "memory-mb": 300, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                          "advice", "upkeep", "sharing"],
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "call", "advice": advice,
            "platform": {"address": store_address, "form": "table", "writes-per-s": 600,
                         "reads-per-s": 2000, "tx-ms": 8.0, "partition-writes-s": 150,
                         "row-bytes": 65536, "across": False, "history-s": 20,
                         "blob-bytes": 8388608, "blob-ms": 25.0, "blob-mb-s": 80.0},
            "cloud-api": {"address": "127.0.0.1:9", "rate-per-s": 60.0, "duties": [],
                          "duty-per-s": 60.0},
        }))
        self.process = None
        self.log = self.folder / f"{self.name}.log"

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MARIGOLDPATH_BOOT"] = str(self.settings)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            ["python3", "platform/run.py"], cwd=ROOT, env=environment,
            stdout=open(self.log, "ab"), stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_ports(ip, count):
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


async def call(address, method, path, body=None, timeout=3.0, headers=None):
    """Return the status and the data of an answer, or None if there was none in time."""
    host, _, port = address.rpartition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {SITE}", "Connection: close",
                     f"X-Deadline-Ms: {int(timeout * 1000)}",
                     f"Content-Length: {len(payload)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + payload)
            answer = await read_message(reader)
            if answer is None:
                return None
            data = answer[2]
            return int(answer[0][1]), json.loads(data) if data else {}
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


def configuration(version=1, **fields):
    """Return an operator's configuration with one queue."""
    route = {"name": "r-1", "host": SITE, "prefix": "/q/", "service": "niti", "priority": 2,
             "attempts": 2, "stretch": 2.2, "target-duration-ms": 1200, "timeout-ms": 3000}
    route.update(fields)
    return {"version": version, "routes": [route],
            "services": [{"name": "niti", "rejects-overload": False}], "limits": {}}


async def until(condition, limit_s):
    """Wait for a condition; return whether it came true within the limit."""
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.02)
    return True


async def is_serving(host):
    answer = await call(host.ingress, "GET", "/q/", timeout=1.0)
    return answer is not None and answer[0] == 200


class Cell:
    """A store, workers and entry hosts on loopback addresses."""

    def __init__(self, folder, hosts=3, workers=3, **queue):
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="review-3-")
        self.hosts_wanted, self.workers_wanted, self.queue = hosts, workers, queue
        self.workers, self.hosts = [], []
        self.store = None

    async def start(self, **worker):
        self.store = Store()
        await self.store.start()
        self.store.put("op", "config", configuration(**self.queue))
        for number in range(self.workers_wanted):
            each = Worker(f"i-{number:04x}", self.record, self.store, **worker)
            await each.boot()
            each.write_entry()
            self.workers.append(each)
        for number in range(self.hosts_wanted):
            host = Host(number, self.store.address, self.temporary)
            self.hosts.append(host)
            host.start()
        end = time.monotonic() + 20
        for host in self.hosts:
            while not await is_serving(host):
                if time.monotonic() > end:
                    raise RuntimeError(f"{host.name} does not serve")
                await asyncio.sleep(0.1)
        await until(lambda: all(worker.fence for worker in self.workers), 10)
        self.record.add("SERVING", len(self.hosts), "hosts", len(self.workers), "workers")

    async def submit(self, job_id, steps, spec, host=0, **fields):
        body = {"spec": json.dumps(spec), "steps": steps, **fields}
        answer = await call(self.hosts[host].ingress, "POST", "/q/" + job_id, body)
        self.record.add("POST", job_id, "->", answer)
        return answer

    async def state(self, job_id, host=0):
        answer = await call(self.hosts[host].ingress, "GET", "/q/" + job_id)
        self.record.add("GET", job_id, "->", answer)
        return answer

    async def cancel(self, job_id, host=0):
        answer = await call(self.hosts[host].ingress, "DELETE", "/q/" + job_id)
        self.record.add("DELETE", job_id, "->", answer)
        return answer

    def leader(self):
        """Return the host that leads, by the row of the store; None if none does."""
        row = self.store.rows.get(("mp-lead", "leader", "leader"))
        if row is None:
            return None
        address = json.loads(base64.b64decode(row["value"]))["address"]
        return next((host for host in self.hosts if host.control == address), None)

    def end(self):
        for host in self.hosts:
            host.end()
        if os.environ.get("KEEP"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    def runs_twice(self):
        """Return the starts that break TWICE, each as a line.

        A start after a run of the task has ended `done`, if that end was taken note of
        then or later (`last-seen` reached it) and no lease of that worker lapsed between;
        or a start while another run of the task was at work on a worker that is up.
        """
        found = []
        starts, ends, noted, lapses = [], {}, {}, {}
        for worker in self.workers:
            starts += worker.starts
            for moment, task, run, how, name, born in worker.ends:
                ends[task, run, name, born] = moment, how
            for (born, task, run), moment in worker.noted.items():
                noted[task, run, worker.worker_id, born] = moment
            lapses[worker.worker_id] = worker.lapses
        by_task = {}
        for moment, task, run, name, born in sorted(starts):
            for earlier_moment, earlier in by_task.get(task, []):
                end = ends.get(earlier)
                key = f"{task}: run {earlier[1]} on {earlier[2]}"
                if end is None or end[0] > moment:
                    found.append(f"{key} is at work while run {run} starts on {name}")
                    break
                if end[1] == "done" and earlier in noted:
                    if any(end[0] <= lapse <= noted[earlier] for lapse in lapses[earlier[2]]):
                        continue
                    found.append(
                        f"{key} ended done, run {run} starts on {name} "
                        f"{moment - end[0]:.2f} s later; the end was taken note of "
                        f"{noted[earlier] - moment:+.2f} s after that start")
                    break
            by_task.setdefault(task, []).append((moment, (task, run, name, born)))
        return found


def main(play):
    """Run a case; `play(folder, trouble)` returns the lines of what broke the rule."""
    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(play(folder, trouble), 110))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        raise SystemExit(2)
    with open(folder / "record.txt", "a") as file:
        for line in broken:
            file.write("BROKEN " + line + "\n")
        file.write(f"result: {len(broken)} times broken, TROUBLE={int(trouble)}\n")
    for line in broken[:5]:
        print(line)
    print(f"{len(broken)} times broken")
    raise SystemExit(1 if broken else 0)
