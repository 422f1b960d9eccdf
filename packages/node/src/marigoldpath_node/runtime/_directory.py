"""Addresses of hosts from the platform's host list."""

from collections.abc import Iterable

from marigoldpath_core.messages import EntryHost, HostState, WorkerHost

from ..platform import Hosts

# A worker that was removed from the list may still run tasks whose leases must be
# renewed.
REMOVED_WORKER_RETENTION_MS = 60_000


class HostDirectory:
    """The latest host list and the workers that were recently removed from it."""

    def __init__(self) -> None:
        self._hosts = Hosts((), ())
        self._workers: dict[str, tuple[WorkerHost, int]] = {}
        self._entry_hosts: dict[str, EntryHost] = {}

    @property
    def hosts(self) -> Hosts:
        """The latest host list."""
        return self._hosts

    def update(self, hosts: Hosts, now_ms: int) -> None:
        """Replace the host list."""
        self._hosts = hosts
        for worker in hosts.workers:
            self._workers[worker.name] = (worker, now_ms)
        if len(self._workers) > len(hosts.workers):
            oldest_ms = now_ms - REMOVED_WORKER_RETENTION_MS
            self._workers = {
                name: entry
                for name, entry in self._workers.items()
                if entry[1] >= oldest_ms
            }
        self._entry_hosts = {host.name: host for host in hosts.entry_hosts}

    def worker_address(self, name: str) -> str:
        """Return a worker's address; raise KeyError if the worker is unknown."""
        return self._workers[name][0].address

    def with_addresses(self, names: Iterable[str]) -> frozenset[tuple[str, str]]:
        """Return the known workers among `names`, with their addresses."""
        return frozenset(
            (name, self._workers[name][0].address)
            for name in names
            if name in self._workers
        )

    def entry_host_address(self, name: str) -> str | None:
        """Return the address of an entry host, or None if it is not listed."""
        host = self._entry_hosts.get(name)
        return None if host is None else host.address

    def entry_hosts_in(self, zone: str) -> list[EntryHost]:
        """Return the entry hosts of a zone, live hosts first."""
        hosts = [
            host for host in self._hosts.entry_hosts if host.availability_zone == zone
        ]
        return sorted(hosts, key=lambda host: (host.state != HostState.LIVE, host.name))
