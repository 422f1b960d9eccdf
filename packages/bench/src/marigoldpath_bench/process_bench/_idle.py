"""CPU, memory and traffic of idle daemons in zones of three sizes."""

from typing import Any

import curio

from marigoldpath_bench.deployment import (
    Deployment,
    EntryHostPlan,
    Rack,
    RunPlan,
    find_deployment,
    load_deployment,
)
from marigoldpath_bench.fleet import Fleet
from marigoldpath_core.requests import Size
from marigoldpath_node.http import HttpClient, HttpClientSettings

from ._fill import fill
from ._model import PARTS, BenchSettings, Measure, measure
from ._run import plan_benchmark_run, running_fleet
from ._stats import cpu_seconds, resident_mb

ZONE_SIZES = (24, 128, 513)
ZONES = tuple(f"zone-{number}" for number in range(1, 9))
RACK_SIZE = 32
WORKERS_PER_PROCESS = 64
SETTLING_S = 11.0
MEASUREMENT_S = 5.0
# The targets are those of the design page, section 8.
TARGET_CPU_PERCENT = 4.3
TARGET_MEMORY_MB = 32.0
TARGET_TRAFFIC_KB_PER_S = 2.0


@PARTS.register("idle")
async def idle(settings: BenchSettings) -> list[Measure]:
    """Measure a follower and the leader at each zone size."""
    measurements: list[Measure] = []
    for size in ZONE_SIZES:
        measurements += await measure_zone_size(settings, size)
    return measurements


async def measure_zone_size(
    settings: BenchSettings, size: int, with_tasks: bool = True
) -> list[Measure]:
    """Measure one zone of `size` workers in a fleet of eight such zones.

    With `with_tasks`, also measure the leader while all slots have running tasks.
    """
    deployment = zone_deployment(size)
    run = with_other_zones(
        plan_benchmark_run(deployment, settings, f"idle-{size}", WORKERS_PER_PROCESS),
        size,
    )
    async with running_fleet(run, settings) as fleet:
        await curio.sleep(SETTLING_S)
        leader = await fleet.leader(ZONES[0])
        assert leader is not None
        follower = next(
            daemon.name for daemon in run.daemons[:2] if daemon.name != leader.host
        )
        hosts = {"leader": leader.host, "follower": follower}
        measurements = await _measure_hosts(
            fleet, settings, f"{size} workers idle", hosts
        )
        if not with_tasks:
            return measurements
        count = await fill(fleet, ZONES[0], size, settings.seed)
        del hosts["follower"]
        subject = f"{size} workers with {count} tasks"
        return measurements + await _measure_hosts(fleet, settings, subject, hosts)


def zone_deployment(size: int) -> Deployment:
    """Return a deployment of one zone with three entry hosts."""
    base = load_deployment(find_deployment("skala") / "deployment.json")
    capacity = Size(64_000, 262_144, 2, 8, 64)
    racks = [
        Rack(
            f"rack-{number}",
            ZONES[0],
            f"worker-{number}-",
            min(RACK_SIZE, size - first),
            capacity,
        )
        for number, first in enumerate(range(0, size, RACK_SIZE))
    ]
    hosts = tuple(EntryHostPlan(f"host-{name}", ZONES[0]) for name in "abc")
    return base._replace(
        availability_zones=ZONES[:1], entry_hosts=hosts, racks=tuple(racks)
    )


def with_other_zones(run: RunPlan, size: int) -> RunPlan:
    """Add seven zones without processes of their own to the host list.

    Their entry hosts have the addresses of the running daemons, so that the leader's
    beacons to other zones are received.
    """
    listed = run.platform.settings
    workers = list(listed["workers"])
    entry_hosts = list(listed["entry_hosts"])
    for number, zone in enumerate(ZONES[1:]):
        workers += [
            {
                **worker,
                "name": f"{zone}-{worker['name']}",
                "availability_zone": zone,
                "rack": f"{zone}-{worker['rack']}",
            }
            for worker in listed["workers"][:size]
        ]
        address = run.daemons[number % len(run.daemons)].address
        entry_hosts.append(
            {
                "name": f"host-{zone}",
                "availability_zone": zone,
                "address": address,
                "state": "live",
            }
        )
    platform = run.platform._replace(
        settings={**listed, "workers": workers, "entry_hosts": entry_hosts}
    )
    daemons = tuple(
        daemon._replace(settings={**daemon.settings, "availability_zones": list(ZONES)})
        for daemon in run.daemons
    )
    return run._replace(platform=platform, daemons=daemons)


async def _measure_hosts(
    fleet: Fleet, settings: BenchSettings, subject: str, hosts: dict[str, str]
) -> list[Measure]:
    client = HttpClient(HttpClientSettings())
    pids = {role: fleet.processes[name].pid for role, name in hosts.items()}
    before = {
        role: await _read_traffic_baseline(fleet, client, name)
        for role, name in hosts.items()
    }
    cpu_s_before = {role: cpu_seconds(pid) for role, pid in pids.items()}
    await curio.sleep(MEASUREMENT_S)
    measurements = []
    for role, name in hosts.items():
        percent = 100 * (cpu_seconds(pids[role]) - cpu_s_before[role]) / MEASUREMENT_S
        after = await _read_traffic(fleet, client, name)
        kb_per_s = (after - before[role]) / 1_000 / MEASUREMENT_S
        variant = f"{role}, {subject}"
        figures = (
            ("daemon at rest, processor", percent, "% of a core", TARGET_CPU_PERCENT),
            ("daemon at rest, memory", resident_mb(pids[role]), "MB", TARGET_MEMORY_MB),
            ("daemon at rest, traffic", kb_per_s, "KB/s", TARGET_TRAFFIC_KB_PER_S),
        )
        for title, value, unit, bound in figures:
            # The target applies only to a daemon without running tasks.
            target = bound if subject.endswith("idle") else None
            measurements.append(
                measure(title, variant, value, unit, settings.seed, target=target)
            )
    await client.close()
    return measurements


async def _read_traffic_baseline(fleet: Fleet, client: HttpClient, name: str) -> int:
    """Return the traffic count including the reply that reports it.

    A reply is counted after it was created, so the reported count lacks this reply.
    """
    first = await _read_traffic(fleet, client, name)
    second = await _read_traffic(fleet, client, name)
    return second + (second - first)


async def _read_traffic(fleet: Fleet, client: HttpClient, name: str) -> int:
    """Return the bytes of HTTP messages that a daemon sent and received."""
    keys = fleet.plan.deployment.keys
    operator = next(key.key for key in keys if key.role == "operator")
    address = next(each.address for each in fleet.plan.daemons if each.name == name)
    response = await client.request(
        "GET",
        address,
        "/v1/status",
        headers={"authorization": f"Bearer {operator}"},
    )
    counts: dict[str, Any] = response.json()["traffic"]
    return sum(counts.values())
