"""Settings files to run a deployment on the loopback address."""

import json
from pathlib import Path
from typing import Any, NamedTuple

from marigoldpath_core.messages import WorkerHost
from marigoldpath_core.settings import DaemonSettings, ListenSettings

from ._model import Deployment, EntryHostPlan

LOOPBACK_IP = "127.0.0.1"
FIRST_CLOCK_OFFSET_MS = 1_000_000
CLOCK_STEP_MS = 7_919


class ProcessPlan(NamedTuple):
    """One process of a run; `address` is empty for a process that hosts workers."""

    name: str
    module: str
    settings: dict[str, Any]
    address: str = ""

    def settings_path(self, folder: Path) -> Path:
        """Return the path of the process's settings file."""
        return folder / f"{self.name}.json"


class RunPlan(NamedTuple):
    """All processes of a run and the folder for its files."""

    folder: Path
    deployment: Deployment
    platform: ProcessPlan
    workers: tuple[ProcessPlan, ...]
    daemons: tuple[ProcessPlan, ...]
    worker_hosts: tuple[WorkerHost, ...]

    @property
    def record_paths(self) -> list[Path]:
        """The files to which the workers write their records."""
        return [Path(process.settings["record"]) for process in self.workers]


def count_ports(deployment: Deployment) -> int:
    """Return the number of consecutive ports that a run uses."""
    return 1 + len(deployment.entry_hosts) + len(deployment.workers())


def plan_run(deployment: Deployment, base_port: int, folder: Path) -> RunPlan:
    """Return the processes: the fake platform, one worker process per zone, daemons.

    Ports are assigned upwards from `base_port` to the platform, the entry hosts and
    the workers, in this order.
    """
    platform_address = f"{LOOPBACK_IP}:{base_port}"
    first_worker = base_port + 1 + len(deployment.entry_hosts)
    hosts = tuple(
        worker._replace(address=f"{LOOPBACK_IP}:{first_worker + number}")
        for number, worker in enumerate(deployment.workers())
    )
    daemons = tuple(
        _daemon_process(deployment, host, base_port + 1 + number, platform_address)
        for number, host in enumerate(deployment.entry_hosts)
    )
    workers = tuple(
        _worker_process(deployment, zone, hosts, folder)
        for zone in deployment.availability_zones
    )
    platform = _platform_process(deployment, base_port, hosts, daemons)
    return RunPlan(folder, deployment, platform, workers, daemons, hosts)


def write_run(plan: RunPlan) -> None:
    """Write the settings file of each process."""
    plan.folder.mkdir(parents=True, exist_ok=True)
    for process in (plan.platform, *plan.workers, *plan.daemons):
        text = json.dumps(process.settings, indent=1)
        process.settings_path(plan.folder).write_text(text + "\n")


def daemon_settings(
    deployment: Deployment, host: EntryHostPlan, port: int, platform_address: str
) -> DaemonSettings:
    """Return the settings of the daemon on one entry host."""
    return DaemonSettings(
        host=host.name,
        region=deployment.region,
        availability_zone=host.availability_zone,
        availability_zones=deployment.availability_zones,
        platform_address=platform_address,
        listen=ListenSettings(ip=LOOPBACK_IP, port=port),
        kinds=deployment.kinds,
        keys=deployment.keys,
    )


def _daemon_process(
    deployment: Deployment, host: EntryHostPlan, port: int, platform_address: str
) -> ProcessPlan:
    settings = daemon_settings(deployment, host, port, platform_address)
    payload = _merge(_non_default_fields(settings), deployment.daemon)
    return ProcessPlan(host.name, "marigoldpath_node", payload, settings.address)


def _worker_process(
    deployment: Deployment, zone: str, hosts: tuple[WorkerHost, ...], folder: Path
) -> ProcessPlan:
    name = f"workers-{zone}"
    workers = [
        {
            "name": host.name,
            "port": _port(host.address),
            "capacity": host.capacity._asdict(),
            "clock_offset_ms": FIRST_CLOCK_OFFSET_MS + CLOCK_STEP_MS * number,
        }
        for number, host in enumerate(hosts)
        if host.availability_zone == zone
    ]
    settings = {
        "ip": LOOPBACK_IP,
        "record": str(folder / f"{name}.records.jsonl"),
        "usage_lag_ms": deployment.usage_lag_ms,
        "workers": workers,
    }
    return ProcessPlan(name, "marigoldpath_bench.worker", settings)


def _platform_process(
    deployment: Deployment,
    port: int,
    hosts: tuple[WorkerHost, ...],
    daemons: tuple[ProcessPlan, ...],
) -> ProcessPlan:
    entry_hosts = [
        {
            "name": host.name,
            "availability_zone": host.availability_zone,
            "address": daemon.address,
            "state": "live",
        }
        for host, daemon in zip(deployment.entry_hosts, daemons)
    ]
    settings = {
        "ip": LOOPBACK_IP,
        "port": port,
        "hosts_lag_ms": deployment.hosts_lag_ms,
        "workers": [_to_json_value(host) for host in hosts],
        "entry_hosts": entry_hosts,
    }
    return ProcessPlan(
        "platform", "marigoldpath_bench.platform", settings, f"{LOOPBACK_IP}:{port}"
    )


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _to_json_value(value: Any) -> Any:
    """Return a value with all nested named tuples converted to JSON objects."""
    if hasattr(value, "_asdict"):
        return {name: _to_json_value(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple | list):
        return [_to_json_value(item) for item in value]
    return value


def _non_default_fields(settings: DaemonSettings) -> dict[str, Any]:
    """Return the fields whose values differ from their defaults."""
    defaults = DaemonSettings._field_defaults
    return {
        name: _to_json_value(value)
        for name, value in settings._asdict().items()
        if name not in defaults or value != defaults[name]
    }


def _merge(settings: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Return settings with changes applied recursively to nested objects."""
    merged = dict(settings)
    for name, value in changes.items():
        nested = isinstance(value, dict) and isinstance(merged.get(name), dict)
        merged[name] = _merge(merged[name], value) if nested else value
    return merged
