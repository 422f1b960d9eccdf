"""Chooses the hosts that relay a leader's commands, and the workers of each of them."""

import math
from hashlib import blake2b

from ._settings import FleetSettings


def choose_relays(
    candidates: dict[str, float], workers: int, settings: FleetSettings
) -> tuple[str, ...]:
    """Return the addresses of the hosts that should relay commands.

    `candidates` maps the address of each suitable host to its cores, and `workers` is
    the number of workers. The largest hosts are chosen.
    """
    count = math.ceil(workers / settings.workers_per_relay)
    by_size = sorted(candidates, key=lambda address: (-candidates[address], address))
    return tuple(by_size[: min(count, settings.max_relays)])


def find_relay(worker_id: str, relays: tuple[str, ...]) -> str:
    """Return the relay of a worker, or an empty string if there are no relays.

    Each worker has an order of its own of all hosts (rendezvous hashing), so a relay
    that is removed changes the relay of its own workers only.
    """
    return max(relays, key=lambda address: _weight(worker_id, address), default="")


def _weight(worker_id: str, address: str) -> bytes:
    return blake2b(f"{worker_id} {address}".encode(), digest_size=8).digest()
