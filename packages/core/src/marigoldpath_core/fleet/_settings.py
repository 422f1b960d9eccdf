"""Limits and weights of the fleet's scheduler."""

from typing import NamedTuple


class FleetSettings(NamedTuple):
    """Times in milliseconds of the monotonic clock, shares between 0 and 1.

    `lease_ms` is asked for at each look at a worker. `clock_slack` is the rate by which
    a worker's clock may be slow. `start_window_ms` bounds how late an order to start
    may be carried out by a life whose clock is known, `late_order_ms` by any other.
    A job stays in its zone while its widest step needs at most `home_share` of what
    fits there, as the advice service refuses some of the workers.
    Questions that are expected to take `slow_advice_ms` are asked by at most
    `slow_advice_share` of the hosts at a time.
    `longest_lease_ms` is the most that a worker grants. `final_job_retention_ms` is how
    long the state of an ended job can be asked for.
    """

    lease_ms: int = 4_500
    clock_slack: float = 0.03
    lease_margin_ms: int = 150
    start_window_ms: int = 700
    longest_lease_ms: int = 6_000
    late_order_ms: int = 12_000
    order_limit_ms: int = 2_000
    majority_ms: int = 1_500
    look_wait_ms: int = 500
    urgent_reserve: float = 0.15
    home_share: float = 0.5
    lasting_start_ms: int = 3_500
    retry_stop_ms: int = 1_300
    leaving_margin_ms: int = 1_300
    most_preemptions: int = 8
    preempt_percent: int = 15
    quarantine_share: float = 0.25
    stray_grace_ms: int = 4_000
    stall_ms: int = 2_500
    stall_reports: int = 3
    quarantine_ms: int = 6_000
    quarantine_failures: int = 3
    failure_window_ms: int = 6_000
    ticket_margin_ms: int = 250
    slow_advice_ms: float = 100.0
    slow_advice_share: float = 0.5
    pace_settle_ms: int = 700
    pace_restore_ms: int = 3_000
    pace_restore_share: float = 0.6
    considered_steps: int = 60
    final_job_retention_ms: int = 150_000
