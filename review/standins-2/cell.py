"""Runs entry hosts with stand-ins of the platform and the workers on loopback.

The entry hosts are the project's own program, started with the command of the deploy
file. Nothing but what clients, workers and the platform see is judged.
"""

import asyncio
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from advice import DECIDE_S, PERIOD_S, Advice
from store import Store
from wire import call

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
SERVICE = "niti"
SITE = "site.example"
ZONES = ("split", "zadar", "sibenik", "rijeka")
MEMORY_MB = 300
RESTART_S = 1.0
# The bounds of `sites/skala-raspored.toml`, as DEPLOY.md shows them.
BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "stable-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 5000,
    "recovery-s": 12,
    "hold-max-ms": 6000,
    "stop-ms": 900,
    "gang-timeout-ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote-factor": 2,
    "checkpoint-interval-s": 2,
    "restore-ms": 100,
    "notice-ms": 4500,
    "require-fence": True,
    "lease-ms": 3000,
    "thaw-ms": 300,
    "pace-ms": 100,
    "harm-ms": 4000,
}


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def at_s(self, monotonic_s):
        """Return a time of another process as seconds since the start."""
        return monotonic_s - self._began_s

    def __call__(self, who, *what):
        words = " ".join(map(str, what))
        self._file.write(f"{self.now_s():8.3f} {who}: {words}\n")


class Host:
    """One entry host; the platform restarts its process when it ends."""

    def __init__(self, number, ip, zone, folder, platform, seeds):
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        ports = free_ports(ip, 3)
        self.ingress, self.readiness, self.control = (f"{ip}:{p}" for p in ports)
        self.process = None
        self.kills = 0
        self.peak_mb = 0.0
        # The longest time for which a running process answered no readiness check.
        self.longest_silence_s = 0.0
        self.heard_s = 0.0
        self._log_path = folder / f"{self.name}.log"
        self._settings_path = folder / f"{self.name}.json"
        self._ip = ip
        self._store, self._advice = platform
        self._seeds = seeds

    def start(self, *, is_first):
        """Start the program of the deploy file."""
        settings = {
            "node": self.name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge", "control"],
            "ip": self._ip,
            "zone": self.zone,
            "region": "jadran",
            "zones": dict.fromkeys(ZONES, "jadran"),
            "listen": {
                "ingress": self.ingress,
                "readiness": self.readiness,
                "control": self.control,
            },
            "port-range": [7720, 7735],
            "seeds": self._seeds,
            "bootstrap": is_first,
            "loss-counts": False,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": MEMORY_MB,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched"],
            "bounds": BOUNDS,
            "orders": "call",
            "advice": self._advice,
            "platform": {
                "address": self._store,
                "form": "table",
                "writes-per-s": 600,
                "reads-per-s": 2000,
                "tx-ms": 8.0,
                "partition-writes-s": 150,
                "row-bytes": 65536,
                "across": False,
                "history-s": 20,
            },
        }
        self._settings_path.write_text(json.dumps(settings))
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = role["roles"]["entry"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["MARIGOLDPATH_BOOT"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        """Return the resident memory of the process in megabytes of 1,000,000 bytes."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGESIZE") / 1_000_000

    def kill(self):
        """Kill the process that this object started, and reap it."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def log_lines(self):
        """Return the lines that the processes of this host logged."""
        return self._log_path.read_text(errors="replace").splitlines()


class WorkerProcess:
    """A worker stand-in that can be killed and started again."""

    def __init__(self, worker_id, ip, zone, rack, cell, service=SERVICE, kind="a"):
        self.worker_id = worker_id
        self.zone = zone
        self.address = f"{ip}:{free_ports(ip, 1)[0]}"
        self.rack = rack
        self.kind = kind
        self.cpu = 64_000
        self.process = None
        self._cell = cell
        self._service = service
        self.log_path = cell.folder / f"worker-{worker_id}.log"

    def start(self):
        """Start a new life under the same id and address."""
        fields = {
            "id": self.worker_id,
            "address": self.address,
            "store": self._cell.store.server.address,
            "service": self._service,
            "zone": self.zone,
            "kind": self.kind,
            "rack": self.rack,
            "log": self.log_path,
            "cpu": self.cpu,
        }
        command = [sys.executable, str(STANDINS / "worker.py")]
        for name, value in fields.items():
            command += [f"--{name}", str(value)]
        self.process = subprocess.Popen(command)

    def kill(self):
        """Kill the process that this object started, and reap it."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            line = {"at": time.monotonic(), "worker": self.worker_id, "event": "killed"}
            with self.log_path.open("a") as log:
                log.write(json.dumps({**line, "task": "", "run": 0}) + "\n")

    def set_unhealthy(self, is_unhealthy):
        """Make the worker refuse starts with 503, or accept them again."""
        path = Path(f"{self.log_path}.busy")
        if is_unhealthy:
            path.touch()
        else:
            path.unlink(missing_ok=True)

    def events(self):
        """Return what this worker ran: starts and ends."""
        if not self.log_path.exists():
            return []
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]


class Cell:
    """Entry hosts, workers and the store of one run."""

    def __init__(self, case_folder, hosts=3, workers=8, kinds=None):
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.advice = Advice()
        self.hosts = []
        self.workers = []
        self.disrupted_s = 0.0
        self._counts = hosts, workers
        # The kinds of the workers that are not of kind "a", by their numbers.
        self._kinds = kinds or {}
        self._is_closing = False
        self._tasks = []
        self._second = secrets.randbelow(200) + 20
        self._third = secrets.randbelow(250)

    async def start(self):
        """Start everything and wait until the hosts are ready and work is done."""
        await self.store.server.start(self._ip(1))
        self.configure(1)
        hosts, workers = self._counts
        for number in range(workers):
            zone = ZONES[number % len(ZONES)]
            worker = WorkerProcess(
                f"i-{number:04x}", self._ip(100 + number), zone, f"r-{zone}", self
            )
            worker.kind = self._kinds.get(number, worker.kind)
            worker.start()
            self.workers.append(worker)
        seeds = []
        for number in range(hosts):
            zone = ZONES[number % len(ZONES)]
            host = Host(
                number,
                self._ip(10 + number),
                zone,
                self.folder,
                (self.store.server.address, await self.advice.listen(self._ip(2))),
                seeds,
            )
            seeds.append(host.control)
            self.hosts.append(host)
        for host in self.hosts:
            host.start(is_first=True)
        self._tasks.append(asyncio.create_task(self._keep_hosts()))
        for host in self.hosts:
            self._tasks.append(asyncio.create_task(self._check_readiness(host)))
        # As on the site, traffic starts 12 s after the machines do.
        await asyncio.sleep(12.0)
        for host in self.hosts:
            status, _ = await call(host.readiness, "GET", "/v1/ready", timeout_s=1.0)
            self.record("platform", f"GET /v1/ready at {host.name}: {status}")

    def _ip(self, number):
        return f"127.{self._second}.{self._third}.{number}"

    def configure(self, version):
        """Write a version of the configuration.

        It has an urgent queue and a background queue, and two more with slow advice: one
        for tasks that last and one for background jobs.
        """
        fields = {
            "host": SITE,
            "service": SERVICE,
            "attempts": 3,
            "stretch": 2.0,
            "target-duration-ms": 300,
        }
        advice = {
            "decide-ms": DECIDE_S * 1000,
            "period-ms": PERIOD_S * 1000,
            "valid-ms": 2_500,
        }
        advised = {**fields, "advice": advice}
        routes = [
            {"name": "r-lasting", "prefix": "/lasting/", "priority": 1, **advised},
            {"name": "r-advised", "prefix": "/advised/", "priority": 2, **advised},
            {"name": "r-main", "prefix": "/main/", "priority": 0, **fields},
            {"name": "r-later", "prefix": "/later/", "priority": 2, **fields},
        ]
        service = {"name": SERVICE, "rejects-overload": False}
        configuration = {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": {},
        }
        self.store.put("op", "config", json.dumps(configuration).encode())

    async def _keep_hosts(self):
        """Do what the platform does: end processes over their memory, and restart."""
        ended_s = {}
        while not self._is_closing:
            await asyncio.sleep(0.03)
            for host in self.hosts:
                if host.is_running:
                    memory_mb = host.memory_mb()
                    host.peak_mb = max(host.peak_mb, memory_mb)
                    if memory_mb > MEMORY_MB:
                        host.kill()
                        host.kills += 1
                        self.record(
                            "platform",
                            f"{host.name} has {memory_mb:.0f} MB, over memory-mb"
                            f" {MEMORY_MB}: killed, {host.kills} times now",
                        )
                    continue
                if host.process is None:
                    continue
                since_s = ended_s.setdefault(host.name, time.monotonic())
                if time.monotonic() - since_s >= RESTART_S:
                    del ended_s[host.name]
                    self.record("platform", f"{host.name} starts again")
                    host.start(is_first=False)

    async def _check_readiness(self, host):
        """Do what the platform does: ask once a second whether a host is ready."""
        while True:
            await asyncio.sleep(1.0)
            status, _ = await call(host.readiness, "GET", "/v1/ready", timeout_s=1.0)
            now_s = time.monotonic()
            if status or not host.is_running or not host.heard_s:
                host.heard_s = now_s if status else 0.0
                continue
            silence_s = now_s - host.heard_s
            host.longest_silence_s = max(host.longest_silence_s, silence_s)

    async def submit(
        self, host, job_id, steps, spec, timeout_s=3.0, prefix="/main/", **timing
    ):
        """Send a job once to one host; return the status, 0 for no response."""
        body = {"spec": spec, "steps": steps, **timing}
        headers = {
            "host": SITE,
            "content-type": "application/json",
            "x-deadline-ms": str(int(timeout_s * 1000)),
        }
        path = f"{prefix}{job_id}"
        status, _ = await call(host.ingress, "POST", path, body, headers, timeout_s)
        self.record("client", f"POST {path} at {host.name}: {status or 'no response'}")
        return status

    async def submit_with_retries(self, job_id, steps, spec, tries=5, **timing):
        """Send a job to one host after the other until it is accepted or refused."""
        for number in range(tries):
            host = self.hosts[(int(job_id[-4:], 16) + number) % len(self.hosts)]
            status = await self.submit(host, job_id, steps, spec, **timing)
            if 200 <= status < 300:
                return status
            await asyncio.sleep(0.3)
        return status

    async def state(self, job_id, tries=4):
        """Ask for a job's state at one host after the other; None for no answer."""
        headers = {"host": SITE, "x-deadline-ms": "3000"}
        path = f"/main/{job_id}"
        for number in range(tries):
            host = self.hosts[(int(job_id[-4:], 16) + number) % len(self.hosts)]
            status, body = await call(host.ingress, "GET", path, None, headers, 3.0)
            if status == 200:
                return body["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.2)
        return None

    def events(self):
        """Return the starts and ends on all workers in the order of time."""
        found = [event for worker in self.workers for event in worker.events()]
        return sorted(found, key=lambda event: event["at"])

    def starts_of(self, job_id):
        """Return the starts of a job's tasks."""
        return [
            event
            for event in self.events()
            if event["event"] == "start" and event["task"].startswith(job_id)
        ]

    def running(self, job_id=""):
        """Return the names of the tasks that run now."""
        running = {}
        for event in self.events():
            if event["event"] in ("born", "killed"):
                for task, worker in list(running.items()):
                    if worker == event["worker"]:
                        del running[task]
            elif event["event"] == "start":
                running[event["task"]] = event["worker"]
            elif event["event"] == "end":
                if running.get(event["task"]) == event["worker"]:
                    del running[event["task"]]
        return [task for task in running if task.startswith(job_id)]

    def record_runs(self, limit=400):
        """Write the starts and ends on the workers to the record."""
        events = self.events()
        self.record("workers", f"{len(events)} events; the first {limit} follow")
        for event in events[:limit]:
            at_s = self.record.at_s(event["at"])
            words = {k: v for k, v in event.items() if k not in ("at", "worker")}
            self.record("workers", f"at {at_s:.3f} {event['worker']} {words}")

    def record_logs(self, names, limit=40):
        """Write the lines of the hosts' logs with one of these events to the record."""
        for host in self.hosts:
            lines = [
                line
                for line in host.log_lines()
                if any(f'"{name}"' in line for name in names)
            ]
            for line in lines[:limit]:
                self.record(f"log of {host.name}", line[:400])

    async def close(self):
        """End all processes that this cell started."""
        self._is_closing = True
        for task in self._tasks:
            task.cancel()
        for process in (*self.hosts, *self.workers):
            process.kill()


def free_ports(ip, count):
    """Return free TCP ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((ip, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def run_case(case, folder, is_troubled):
    """Run a case for 115 s at most and exit with its result.

    `case(cell, is_troubled)` returns True if the rule held and False if it was broken.
    """

    async def run():
        main = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, main.cancel)
        cell = Cell(folder, **getattr(case, "sizes", {}))
        cell.record("script", "with trouble" if is_troubled else "without trouble")
        try:
            async with asyncio.timeout(115):
                await cell.start()
                held = await case(cell, is_troubled)
            cell.record("script", "the rule held" if held else "THE RULE WAS BROKEN")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:
            cell.record("script", f"could not run: {error!r}")
            return 2
        finally:
            await cell.close()

    sys.exit(asyncio.run(run()))
