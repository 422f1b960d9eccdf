"""Limits of a cell's processes."""

from typing import NamedTuple

from marigoldpath_core.fleet import FleetSettings


class CellSettings(NamedTuple):
    """The settings of one process; times in seconds.

    `host` names the process, `address` is where peers call it. `beat_s` is the longest
    time between commits of a leader; a candidate replaces a leader whose row did not
    change for `silent_s`, or for `refused_s` when its address refuses connections, and
    `slow_store_factor` times the time that the store takes for a read in addition.
    Another host than the named successor takes a released row after `successor_s`, and
    the one that released it after `left_s`.
    `cores` is the processor of this host. A candidate with `larger_factor` times less
    than the lost leader leaves `smaller_s` to larger ones, and a leader hands over to a
    host with as many times more once it has led for `settled_s`.
    A leader that no other host has called for `alone_s` is on its own.
    A leader that hears no majority of the workers for `lonely_s` leaves to another
    host, and one that has not loaded the stored state within `load_s` counts as one
    without the store. A page of that state may take `load_reply_s`, and twice as long
    after each failure up to `load_reply_most_s`, as on a slow link.
    A host that has reached neither the store nor a leader for `unready_s` is not ready.
    """

    host: str
    address: str
    availability_zone: str
    token: str
    cores: float = 1.0
    fleet: FleetSettings = FleetSettings()
    beat_s: float = 0.5
    refused_s: float = 0.7
    silent_s: float = 1.0
    successor_s: float = 0.3
    left_s: float = 2.0
    larger_factor: float = 1.5
    smaller_s: float = 0.5
    settled_s: float = 1.0
    alone_s: float = 1.5
    lonely_s: float = 4.0
    load_s: float = 3.0
    load_reply_s: float = 1.0
    load_reply_most_s: float = 8.0
    slow_store_factor: float = 4.0
    watch_s: float = 0.3
    peer_reply_s: float = 0.6
    unready_s: float = 0.3
    store_trouble_s: float = 1.2
    commit_gap_s: float = 0.06
    commit_retry_s: float = 0.15
    commit_jobs: int = 80
    tick_s: float = 0.1
    dispatch_gap_s: float = 0.005
    look_gap_s: float = 0.03
    look_retry_s: float = 0.25
    look_backoff_s: float = 1.0
    stored_ends_wait_s: float = 0.4
    directory_s: float = 1.0
    sweep_s: float = 1.5
    retention_s: float = 5.0
    election_read_s: float = 0.25
    orders_per_worker: int = 3
    accept_retry_s: float = 0.1
    accept_refused_s: float = 0.35
    remembered_jobs: int = 2_000
