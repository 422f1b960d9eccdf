"""Settings of the fleet scheduler."""

from typing import NamedTuple


class FleetSettings(NamedTuple):
    """Settings; times are in milliseconds, shares and fractions between 0 and 1.

    Each poll of a worker requests a lease of `lease_ms`. `max_clock_drift` is the
    largest fraction by which a worker's clock is assumed to run slow.
    A worker executes a start at most `start_window_ms` late if it is the incarnation
    whose clock is known, and at most `max_command_delay_ms` late otherwise.
    A leader may send commands for `row_authority_ms` after it stored its row, and while
    a majority of the workers has replied to polls sent within `majority_window_ms`.
    Entries of the directory that expired while the store was away are back at the
    latest `expired_entry_return_ms` after its return.
    A worker that has not reported to a new leader for `unleased_mark_ms` is marked in
    the roster as one to which that leader has granted no lease.
    A worker may delay its reply to a poll by `poll_wait_ms`, until a run terminates.
    It is `watched_poll_wait_ms` for a worker whose runs have to be observed: fillers,
    and runs without recent progress. It is that for all workers if the row was not
    stored within `row_age_for_short_polls_ms`, because the majority must then reply
    often enough to prove the leader's authority.
    A new job may leave its zone at once if the width of one of its steps is more than
    `home_zone_fraction` of the tasks that fit there, because the advice service refuses
    some of the workers.
    A scheduling pass examines `max_steps_per_pass` waiting steps. Half of them are the
    most urgent ones, and the others are taken in turn.
    An advice request is slow if it is expected to take `slow_advice_ms` or more. At
    most `slow_advice_share` of the hosts send slow requests at the same time.
    The leader's process lags if a timer fires more than `max_lag_ms` late. Between
    `min_starts_in_flight` and `max_starts_in_flight` starts may then wait for a reply:
    the limit is multiplied by `start_limit_decrease` at each Tick with a lag, and
    raised by `start_limit_increase` at each one with less than half of it. While it is
    lowered, advice is requested for the most urgent steps only, until their waiting
    tasks are `start_queue_factor` times the limit.
    A leader whose limit has fallen below `relay_limit_share` of the highest one, or
    that has more than `max_direct_workers` workers, uses relays: one for each
    `workers_per_relay` workers and at most `max_relays`.
    A task avoids a worker where a run of it failed, stalled or was refused. Once it
    has waited for `avoid_ms` and no other worker has room, it uses that one again.
    A task is given up after `max_crashes` workers crashed within `crash_window_ms`
    after a start of it.
    A task takes `remote_factor` times as long outside the rack of its data; 1 means
    that this is not known. With `learn_speeds` the leader measures how long tasks take
    on which workers, and places tasks accordingly. `place_wait` is the policy for how
    long a task waits for a place in the rack of its data: `none`, `fixed`, `expected`.
    It has no effect if `remote_factor` is 1.
    A job whose steps run several times begins another occurrence that is due if none is
    open. It also does if less than `max_waiting_occurrence_steps` of its steps have
    tasks that wait for a worker, and at most `max_open_occurrence_steps` would be open.
    `longest_lease_ms` is the longest lease that a worker grants. The state of a final
    job can be queried for `final_job_retention_ms`.
    """

    lease_ms: int = 4_500
    max_clock_drift: float = 0.03
    lease_margin_ms: int = 150
    start_window_ms: int = 700
    longest_lease_ms: int = 6_000
    max_command_delay_ms: int = 12_000
    row_authority_ms: int = 2_000
    majority_window_ms: int = 1_500
    expired_entry_return_ms: int = 2_500
    unleased_mark_ms: int = 1_000
    row_age_for_short_polls_ms: int = 800
    poll_wait_ms: int = 1_200
    watched_poll_wait_ms: int = 500
    urgent_reserve_fraction: float = 0.15
    home_zone_fraction: float = 0.5
    long_running_startup_ms: int = 3_500
    retry_stop_ms: int = 1_300
    drain_margin_ms: int = 1_300
    max_preemptions: int = 8
    preempt_percent: int = 15
    max_quarantined_fraction: float = 0.25
    unknown_job_grace_ms: int = 4_000
    stall_ms: int = 2_500
    stall_reports: int = 3
    quarantine_ms: int = 6_000
    quarantine_failures: int = 3
    failure_window_ms: int = 6_000
    avoid_ms: int = 2_000
    max_crashes: int = 3
    crash_window_ms: int = 1_000
    ticket_margin_ms: int = 250
    slow_advice_ms: float = 100.0
    slow_advice_share: float = 0.5
    throttle_delay_ms: int = 700
    throttle_release_ms: int = 3_000
    throttle_release_ratio: float = 0.6
    max_steps_per_pass: int = 60
    max_waiting_occurrence_steps: int = 32
    max_open_occurrence_steps: int = 10_000
    max_lag_ms: float = 80.0
    min_starts_in_flight: int = 8
    max_starts_in_flight: int = 512
    start_limit_increase: float = 8.0
    start_limit_decrease: float = 0.7
    start_queue_factor: int = 4
    relay_limit_share: float = 0.5
    max_direct_workers: int = 480
    workers_per_relay: int = 32
    max_relays: int = 16
    final_job_retention_ms: int = 150_000
    remote_factor: float = 1.0
    learn_speeds: bool = True
    place_wait: str = "expected"

    def longest_wait_ms(self, lease_ms: float) -> float:
        """Return how long a lease may last, with the drift of the worker's clock."""
        return lease_ms * (1 + self.max_clock_drift) + self.lease_margin_ms
