"""Data types of the settings. Times are in milliseconds, sizes in bytes."""

from typing import NamedTuple

from marigoldpath_core.configuration import WorkKind


class LeadershipSettings(NamedTuple):
    """Intervals and leases of leader election, claims and tasks."""

    beat_ms: int = 1_000
    row_lease_ms: int = 3_000
    claim_lease_ms: int = 3_000
    task_lease_ms: int = 10_000
    drift_percent: int = 1


class JournalSettings(NamedTuple):
    """Batching of journal records.

    `interval_ms` is the minimum time between the starts of two writes of a zone: with
    10 ms, three zones together make at most 300 writes/s. `snapshot_after` is the
    number of appended rows after which a snapshot is written. `retention_ms` is the
    time for which the journal keeps the outcome of a finished request. The settings
    check rejects a longer `scheduler.finished_retention_ms`, because a new leader would
    not know all outcomes that the previous leader knew.
    """

    interval_ms: int = 10
    max_entries: int = 500
    slots: int = 1_024
    snapshot_after: int = 512
    retention_ms: int = 60_000


class SchedulerSettings(NamedTuple):
    """Policies and limits of a zone's scheduler."""

    queue_policy: str = "weighted_fair"
    worker_failures_before_removal: int = 3
    removed_fleet_percent: int = 25
    finished_retention_ms: int = 60_000
    max_attempts: int = 3
    max_requests: int = 100_000


class RoutingSettings(NamedTuple):
    """Forwarding between entry hosts.

    `retry_percent` limits the number of retries to a percentage of the requests.
    """

    retry_percent: int = 10
    view_age_ms: int = 5_000
    reply_ms: int = 2_000


class ListenSettings(NamedTuple):
    """The listening socket of the daemon and its limits.

    `max_held` is the size of the largest body that peers send.
    """

    ip: str = "127.0.0.1"
    port: int = 0
    max_body: int = 1_048_576
    max_connections: int = 4_096
    read_ms: int = 5_000
    max_held: int = 16_777_216


class AccessKey(NamedTuple):
    """An access key; `role` is `caller` or `operator`. Only callers have a `team`."""

    key: str
    role: str
    team: str = ""


class ObservabilitySettings(NamedTuple):
    """Destinations of logs, spans, metrics and traces.

    An empty path or address disables its output.

    `trace_bytes` limits the size of the trace: a leader of 8 workers with 2 requests
    per second wrote 94 KB in 10 s (tests/traces/sfax.jsonl).
    """

    log_level: str = "info"
    span_path: str = ""
    statsd_address: str = ""
    trace_path: str = ""
    trace_bytes: int = 67_108_864


class DaemonSettings(NamedTuple):
    """All settings of one entry host's daemon."""

    host: str
    region: str
    availability_zone: str
    availability_zones: tuple[str, ...]
    platform_address: str
    listen: ListenSettings = ListenSettings()
    leadership: LeadershipSettings = LeadershipSettings()
    journal: JournalSettings = JournalSettings()
    scheduler: SchedulerSettings = SchedulerSettings()
    routing: RoutingSettings = RoutingSettings()
    observability: ObservabilitySettings = ObservabilitySettings()
    kinds: tuple[WorkKind, ...] = ()
    keys: tuple[AccessKey, ...] = ()

    @property
    def address(self) -> str:
        """Return the address that peers and callers use, `ip:port`."""
        return f"{self.listen.ip}:{self.listen.port}"
