"""Counters and latency histograms in the text format of Prometheus."""

import math
import time
from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

# An urgent task has 0.3 s to start, and a lease lasts a few seconds.
BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
PREFIX = "marigoldpath"


class CellMetrics:
    """The metrics of one entry host; docs/OPERATIONS.md lists them."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._jobs = self._counter(
            "jobs_submitted", "Jobs that callers handed in, by outcome", "outcome"
        )
        self._decisions = self._counter(
            "decisions", "Decisions of the leader, by the event that is logged", "event"
        )
        self._terminations = self._counter(
            "runs_ended", "Ends that workers told", "kind"
        )
        self._refusals = self._counter(
            "jobs_refused", "Jobs that were not accepted, by reason", "reason"
        )
        self._refused_calls = self._counter(
            "calls_refused",
            "Calls without the key that they need, by reason",
            "reason",
        )
        self._store_attempts = self._counter(
            "store_attempts_at_peers",
            "Requests to other hosts to store a job, by outcome",
            "outcome",
        )
        self._lag = Gauge(
            f"{PREFIX}_leader_lag_seconds",
            "How late the leader's last timer fired",
            registry=self._registry,
        )
        self._starts_in_flight = Gauge(
            f"{PREFIX}_max_starts_in_flight",
            "Starts without a reply that the leader's lag permits",
            registry=self._registry,
        )
        self._directory_entries = Gauge(
            f"{PREFIX}_directory_entries",
            "Entries of the last list of workers that this host read as the leader",
            ["kind"],
            registry=self._registry,
        )
        self._calls = Histogram(
            f"{PREFIX}_call_seconds",
            "Seconds until a call was settled",
            ["call"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._epoch = Gauge(
            f"{PREFIX}_leading_epoch",
            "The epoch under which this host leads, 0 while it does not",
            registry=self._registry,
        )
        self._configuration_version = Gauge(
            f"{PREFIX}_configuration_version",
            "The version of the operator's configuration that is in force, -1 for none",
            registry=self._registry,
        )
        self._configuration_version.set(-1)
        self._configuration_read_s = -math.inf
        configuration_age = Gauge(
            f"{PREFIX}_configuration_read_age_seconds",
            "Seconds since the configuration was last read successfully",
            registry=self._registry,
        )
        configuration_age.set_function(lambda: self.configuration_read_age_s)
        self._configuration_reads = self._counter(
            "configuration_reads", "Reads of the configuration, by outcome", "outcome"
        )
        self._closures = self._counter(
            "connections_closed",
            "Connections closed and requests refused at a limit, by reason",
            "reason",
        )
        self._budget_used = Gauge(
            f"{PREFIX}_request_budget_used_bytes",
            "Bytes of requests and of responses that connections hold",
            registry=self._registry,
        )
        self._budget = Gauge(
            f"{PREFIX}_request_budget_bytes",
            "The limit of marigoldpath_request_budget_used_bytes",
            registry=self._registry,
        )
        self._dropped = Gauge(
            f"{PREFIX}_log_lines_dropped",
            "Log lines that were not written since the start",
            registry=self._registry,
        )

    @property
    def content_type(self) -> str:
        """The media type of the text."""
        return CONTENT_TYPE_LATEST

    @property
    def configuration_read_age_s(self) -> float:
        """Seconds since the last successful read of the configuration."""
        return _now_s() - self._configuration_read_s

    def set_configuration_version(self, version: int) -> None:
        """Set the version of the configuration that is in force on this host."""
        self._configuration_version.set(version)

    def record_configuration_read(self, *, is_successful: bool, seconds: float) -> None:
        """Record a read of the configuration, which took `seconds`."""
        self._configuration_reads.labels("ok" if is_successful else "failed").inc()
        self.observe_call("configuration", seconds)
        if is_successful:
            self._configuration_read_s = _now_s()

    def count_submission(self, outcome: str) -> None:
        """Count a job submission, by its outcome."""
        self._jobs.labels(outcome).inc()

    def count_refusal(self, reason: str) -> None:
        """Count a job that was not accepted, by the reason."""
        self._refusals.labels(reason).inc()

    def count_refused_call(self, reason: str) -> None:
        """Count a call that was refused for its API key, by the reason."""
        self._refused_calls.labels(reason).inc()

    def count_store_attempt(self, outcome: str) -> None:
        """Count a request to another host to store a job, by its outcome."""
        self._store_attempts.labels(outcome).inc()

    def count_closure(self, reason: str) -> None:
        """Count a connection that was closed at a limit, by the reason."""
        self._closures.labels(reason).inc()

    def observe_budget(self, used_bytes: Callable[[], int], max_bytes: int) -> None:
        """Show the use of the request budget, read at each scrape, and its limit."""
        self._budget_used.set_function(used_bytes)
        self._budget.set(max_bytes)

    def set_lag(self, lag_s: float, max_starts_in_flight: int) -> None:
        """Set the lag of this host as leader, and the resulting limit of starts."""
        self._lag.set(lag_s)
        self._starts_in_flight.set(max_starts_in_flight)

    def set_directory_entries(self, entries: int, ignored: int) -> None:
        """Set the number of valid entries, and of those that name no worker of ours."""
        self._directory_entries.labels("worker").set(entries - ignored)
        self._directory_entries.labels("ignored").set(ignored)

    def count_decision(self, event: str) -> None:
        """Count a decision of the leader, by its log event."""
        self._decisions.labels(event).inc()

    def count_termination(self, kind: str) -> None:
        """Count the termination of a run, by its reason."""
        self._terminations.labels(kind).inc()

    def observe_call(self, call: str, seconds: float) -> None:
        """Record the duration of a call."""
        self._calls.labels(call).observe(seconds)

    def set_epoch(self, epoch: int) -> None:
        """Set the epoch of this host's term as leader, 0 if it does not lead."""
        self._epoch.set(epoch)

    def render(self, dropped_lines: int) -> bytes:
        """Return all metrics in the text format."""
        self._dropped.set(dropped_lines)
        return generate_latest(self._registry)

    def _counter(self, name: str, text: str, label: str) -> Counter:
        return Counter(f"{PREFIX}_{name}", text, [label], registry=self._registry)


def _now_s() -> float:
    # This clock includes the time for which a host is suspended.
    return time.clock_gettime(time.CLOCK_BOOTTIME)
