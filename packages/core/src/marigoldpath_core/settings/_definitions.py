"""The definitions of all options of the daemon."""

from marigoldpath_core.configuration import WorkKind

from ._model import (
    AccessKey,
    DaemonSettings,
    JournalSettings,
    LeadershipSettings,
    ListenSettings,
    ObservabilitySettings,
    RoutingSettings,
    SchedulerSettings,
)
from ._options import Option, Section

MINUTE_MS = 60_000
MAX_BODY_BYTES = 64 * 1_048_576

LISTEN = Section(
    ListenSettings,
    (
        Option("ip", "ip", "The address that the daemon listens on."),
        Option(
            "port",
            "integer",
            "The port that it listens on; 0 selects a free port.",
            least=0,
            most=65_535,
        ),
        Option(
            "max_body",
            "integer",
            "The maximum size of a request body.",
            unit="bytes",
            least=1_024,
            most=MAX_BODY_BYTES,
        ),
        Option(
            "max_connections",
            "integer",
            "The maximum number of open connections.",
            least=1,
            most=65_536,
        ),
        Option(
            "read_ms",
            "integer",
            "The timeout for receiving a whole request; each 65,536 bytes of its body"
            " extend it by 1 s.",
            unit="ms",
            least=100,
            most=MINUTE_MS,
        ),
        Option(
            "max_held",
            "integer",
            "The maximum size of all requests and unsent responses together. If it is"
            " exceeded, the connection that has held the most for the longest is"
            " closed; a single request always has room.",
            unit="bytes",
            least=1_048_576,
            most=1_073_741_824,
        ),
    ),
)

LEADERSHIP = Section(
    LeadershipSettings,
    (
        Option(
            "beat_ms",
            "integer",
            "The heartbeat interval, at which the leader renews its row.",
            unit="ms",
            least=50,
            most=10_000,
        ),
        Option(
            "row_lease_ms",
            "integer",
            "The time without a heartbeat after which another host may become leader.",
            unit="ms",
            least=200,
            most=MINUTE_MS,
        ),
        Option(
            "claim_lease_ms",
            "integer",
            "The lease of the leader's claim on each worker; it is renewed three times"
            " per lease. A failover takes about two leases. A longer lease lowers the"
            " cost of an idle leader.",
            unit="ms",
            least=200,
            most=MINUTE_MS,
        ),
        Option(
            "task_lease_ms",
            "integer",
            "The lease of a running task, which the leader renews until the task ends.",
            unit="ms",
            least=1_000,
            most=10 * MINUTE_MS,
        ),
        Option(
            "drift_percent",
            "integer",
            "The maximum drift assumed between two monotonic clocks.",
            unit="percent",
            least=0,
            most=10,
        ),
    ),
)

JOURNAL = Section(
    JournalSettings,
    (
        Option(
            "interval_ms",
            "integer",
            "The minimum time between the starts of two journal writes.",
            unit="ms",
            least=1,
            most=1_000,
        ),
        Option(
            "max_entries",
            "integer",
            "The maximum number of entries in one journal row.",
            least=1,
            most=10_000,
        ),
        Option(
            "slots",
            "integer",
            "The rows of the journal's ring buffer, the same number on all hosts.",
            least=16,
            most=65_536,
        ),
        Option(
            "snapshot_after",
            "integer",
            "The number of appended rows after which a snapshot is written.",
            least=1,
            most=32_768,
        ),
        Option(
            "retention_ms",
            "integer",
            "The time for which the journal keeps the outcome of a finished request.",
            unit="ms",
            least=1_000,
            most=60 * MINUTE_MS,
        ),
    ),
)

SCHEDULER = Section(
    SchedulerSettings,
    (
        Option("queue_policy", "name", "The registered policy that orders the queue."),
        Option(
            "worker_failures_before_removal",
            "integer",
            "The failed requests without a later success after which a worker is"
            " removed from service.",
            least=1,
            most=100,
        ),
        Option(
            "removed_fleet_percent",
            "integer",
            "The share of the zone's workers that may be removed for failures.",
            unit="percent",
            least=0,
            most=100,
        ),
        Option(
            "finished_retention_ms",
            "integer",
            "The time for which the answer of a finished request is kept.",
            unit="ms",
            least=1_000,
            most=60 * MINUTE_MS,
        ),
        Option(
            "max_attempts",
            "integer",
            "The maximum number of starts of a repeatable request.",
            least=1,
            most=100,
        ),
        Option(
            "max_requests",
            "integer",
            "The maximum number of requests that a leader keeps at once.",
            least=1,
            most=10_000_000,
        ),
    ),
)

ROUTING = Section(
    RoutingSettings,
    (
        Option(
            "retry_percent",
            "integer",
            "The allowed retries, relative to the requests of the last 10 s.",
            unit="percent",
            least=0,
            most=100,
        ),
        Option(
            "view_age_ms",
            "integer",
            "The age after which the cached leader of a zone is refreshed before use.",
            unit="ms",
            least=100,
            most=10 * MINUTE_MS,
        ),
        Option(
            "reply_ms",
            "integer",
            "The timeout for a reply from a peer.",
            unit="ms",
            least=10,
            most=MINUTE_MS,
        ),
    ),
)

OBSERVABILITY = Section(
    ObservabilitySettings,
    (
        Option(
            "log_level",
            "choice",
            "The lowest level of log lines that are written.",
            choices=("debug", "info", "warning", "error"),
        ),
        Option("span_path", "text", "The file for spans; empty for none."),
        Option(
            "statsd_address",
            "address",
            "The statsd server that receives metrics; empty for none.",
            least=0,
        ),
        Option(
            "trace_path",
            "text",
            "The file for the scheduler's events, which `make replay` reads; it is "
            "truncated at the start; empty for none.",
        ),
        Option(
            "trace_bytes",
            "integer",
            "The size of the trace at which tracing stops.",
            unit="bytes",
            least=1_024,
            most=1_073_741_824,
        ),
    ),
)

KIND = Section(
    WorkKind,
    (
        Option("name", "name", "The name that requests give as their kind."),
        Option(
            "priority",
            "integer",
            "The urgency, where a lower number is more urgent.",
            least=0,
            most=9,
        ),
        Option(
            "weight",
            "integer",
            "The relative share of starts while kinds compete.",
            least=1,
            most=10_000,
        ),
        Option(
            "floor",
            "number",
            "The fraction of the zone's capacity that is reserved for the kind.",
            least=0,
            most=1,
        ),
        Option(
            "ceiling",
            "number",
            "The maximum fraction of the zone's capacity allocated to the kind.",
            least=0,
            most=1,
        ),
        Option(
            "queue_limit",
            "integer",
            "The number of waiting requests beyond which new ones are refused.",
            least=0,
            most=1_000_000,
        ),
        Option("placement", "name", "The registered placement policy."),
        Option("standing", "flag", "Whether requests run until they are cancelled."),
        Option("checkpoint", "flag", "Whether tasks can be checkpointed."),
    ),
)

KEY = Section(
    AccessKey,
    (
        Option("key", "secret", "The secret that is sent with each request."),
        Option(
            "role",
            "choice",
            "The role of the holder; an operator may apply sheets and drain hosts.",
            choices=("caller", "operator"),
        ),
        Option("team", "name", "The team of a caller; empty for operators.", least=0),
    ),
)

DAEMON = Section(
    DaemonSettings,
    (
        Option("host", "name", "The name of this entry host, unique in the fleet."),
        Option("region", "name", "The region of this entry host."),
        Option("availability_zone", "name", "The zone of this entry host."),
        Option("availability_zones", "names", "All zones that requests may specify."),
        Option(
            "platform_address", "address", "The address of the platform's services."
        ),
        Option("listen", "section", "The listening socket.", section=LISTEN),
        Option(
            "leadership", "section", "Leader election and leases.", section=LEADERSHIP
        ),
        Option("journal", "section", "Batching of journal records.", section=JOURNAL),
        Option(
            "scheduler",
            "section",
            "Policies and limits of the zone's scheduler.",
            section=SCHEDULER,
        ),
        Option(
            "routing", "section", "Forwarding between entry hosts.", section=ROUTING
        ),
        Option(
            "observability",
            "section",
            "Destinations of logs, spans and metrics.",
            section=OBSERVABILITY,
        ),
        Option(
            "kinds",
            "sections",
            "The kinds of work that are active until a sheet is applied.",
            section=KIND,
        ),
        Option("keys", "sections", "The keys of callers and operators.", section=KEY),
    ),
)
