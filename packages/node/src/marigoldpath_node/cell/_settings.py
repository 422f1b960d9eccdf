"""Settings of an entry host."""

from typing import NamedTuple

from marigoldpath_core.fleet import FleetSettings


class CellSettings(NamedTuple):
    """The settings of one entry host; all times are in seconds.

    `host` is the name of the process and `address` is where peers reach it. `cores` is
    the processor capacity of its host, and `link_mbps` the bandwidth of its link in
    megabits a second.

    Commits and election:

    - A leader commits at least every `commit_interval_s`, the changes of at most
      `max_jobs_per_commit` jobs and `max_commit_bytes` at a time: a slow link must
      carry a commit before its reply times out. The progress of a job that is longer
      than `max_row_bytes` is stored in several rows.
    - A candidate acquires the leader's row if the row did not change for
      `unresponsive_leader_timeout_s`, or for `refused_leader_timeout_s` if the leader's
      address refuses connections. `slow_store_factor` times the duration of a read from
      the store is added.
    - A released row may be acquired by its named successor at once, and by any other
      host after `successor_timeout_s`. If it names no successor, any other host may
      acquire it at once. The process that released it waits
      `released_leader_delay_s`.
    - A candidate whose `cores`, multiplied by `larger_host_factor`, do not exceed those
      of the lost leader waits `smaller_host_delay_s` longer, so that a larger host can
      be elected.
    - A leader checks every `transfer_interval_s` whether a follower has at least
      `larger_host_factor` times its cores, and transfers the leadership to it.
    - A leader that reaches no majority of the workers for
      `workers_unreachable_timeout_s` transfers the leadership. The time doubles with
      each term in a row that never had a majority.

    Slow advice requests are sent through the followers of a leader. A leader without
    followers sends them itself, at the earliest `follower_discovery_s` after the start
    of its term.

    While a leader loads the stored state it renews its row, for at most `max_load_s`
    and unless nothing was read for `load_progress_timeout_s`. If nothing was read for
    `load_timeout_s`, it reports a rising `store_age_s`, like a leader without access to
    the store. The read of a page
    of that state times out after `load_page_timeout_s`; the timeout doubles after each
    failed load up to `max_load_page_timeout_s`, because a link may be slow.

    Followers report their status to the leader every `check_interval_s`, or less often
    if they are so many that they would send more than `max_status_rate` a second for
    each of its `cores`.

    A host that does not reach the store requests the leader, and after it at most
    `max_writers` followers, to store a job. Each submission earns `retry_budget_ratio`
    of such a further attempt, and `max_retry_budget` attempts can be saved up.

    At most `max_commands_per_worker` commands to a worker are in flight, and
    `max_relayed_commands` through a relay, which sends a few at a time.

    A leader that lags sends its commands to workers in batches through other hosts,
    its relays. A channel to a relay exchanges a batch in each direction at most every
    `min_relay_interval_s`, or less often, up to `max_relay_interval_s`, if the relays
    are so many that all their calls would be more than `max_relay_call_rate` a second
    for each of the leader's `cores`. A relay waits up to `max_relay_wait_s` for a
    reply. Commands and replies that were delayed by more than `max_relay_delay_s` are
    dropped. A relay has failed if a command has no reply `relay_timeout_s` after the
    time that its worker may wait. A worker that its relay did not reach is called
    directly for `relay_bypass_s`. The relays are chosen every
    `relay_choice_interval_s`.

    A host that reaches no leader is not ready once its store calls have failed for
    `unready_timeout_s`. Meanwhile it probes the store every `store_probe_interval_s`; a
    probe times out after `store_probe_timeout_s`.
    """

    host: str
    address: str
    availability_zone: str
    token: str
    cores: float = 1.0
    link_mbps: float = 1_000.0
    fleet: FleetSettings = FleetSettings()
    commit_interval_s: float = 0.5
    refused_leader_timeout_s: float = 0.7
    unresponsive_leader_timeout_s: float = 1.0
    successor_timeout_s: float = 0.3
    released_leader_delay_s: float = 2.0
    larger_host_factor: float = 1.5
    smaller_host_delay_s: float = 0.5
    transfer_interval_s: float = 1.0
    follower_discovery_s: float = 1.5
    workers_unreachable_timeout_s: float = 4.0
    load_timeout_s: float = 3.0
    load_progress_timeout_s: float = 2.0
    max_load_s: float = 15.0
    load_page_timeout_s: float = 1.0
    max_load_page_timeout_s: float = 8.0
    slow_store_factor: float = 4.0
    check_interval_s: float = 0.3
    max_status_rate: float = 100.0
    peer_timeout_s: float = 0.6
    unready_timeout_s: float = 0.3
    store_probe_interval_s: float = 0.2
    store_probe_timeout_s: float = 0.6
    max_commit_age_s: float = 1.2
    commit_batching_s: float = 0.06
    commit_retry_s: float = 0.15
    max_jobs_per_commit: int = 80
    max_commit_bytes: int = 262_144
    max_row_bytes: int = 45_000
    tick_interval_s: float = 0.1
    min_dispatch_interval_s: float = 0.005
    poll_interval_s: float = 0.03
    poll_retry_s: float = 0.25
    max_poll_backoff_s: float = 1.0
    commit_wait_s: float = 0.4
    directory_interval_s: float = 1.0
    resync_interval_s: float = 1.5
    cleanup_interval_s: float = 5.0
    leader_row_read_interval_s: float = 0.25
    max_commands_per_worker: int = 3
    max_relayed_commands: int = 64
    write_retry_s: float = 0.1
    refused_write_timeout_s: float = 0.35
    max_remembered_jobs: int = 2_000
    max_writers: int = 2
    retry_budget_ratio: float = 0.2
    max_retry_budget: float = 10.0
    min_relay_interval_s: float = 0.04
    max_relay_interval_s: float = 0.1
    max_relay_call_rate: float = 300.0
    max_relay_wait_s: float = 0.3
    max_relay_delay_s: float = 0.4
    relay_timeout_s: float = 2.0
    relay_bypass_s: float = 3.0
    relay_choice_interval_s: float = 0.5
