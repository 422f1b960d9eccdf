"""A host list whose changes become visible after a lag; no input or output."""

from typing import Any, NamedTuple

STATES = ("live", "leaving", "gone")


class _Change(NamedTuple):
    shown_ms: int
    state: str


class UnknownHostError(LookupError):
    """The host list has no host with the name."""


class HostList:
    """The workers and entry hosts with their states."""

    def __init__(
        self,
        workers: list[dict[str, Any]],
        entry_hosts: list[dict[str, Any]],
        lag_ms: int,
    ) -> None:
        self._workers = {host["name"]: dict(host) for host in workers}
        self._entry_hosts = {host["name"]: dict(host) for host in entry_hosts}
        self._lag_ms = lag_ms
        self._changes: dict[str, list[_Change]] = {}

    def set_lag(self, lag_ms: int) -> None:
        """Set the lag of subsequent changes."""
        self._lag_ms = lag_ms

    def set_state(self, name: str, state: str, now_ms: int) -> None:
        """Set the state that the list shows for a host after the lag.

        Raises UnknownHostError for an unknown host and ValueError for an invalid state.
        """
        if name not in self._workers and name not in self._entry_hosts:
            raise UnknownHostError(f"no host {name!r} in the list")
        if state not in STATES:
            raise ValueError(f"state must be one of {', '.join(STATES)}: {state!r}")
        change = _Change(now_ms + self._lag_ms, state)
        self._changes.setdefault(name, []).append(change)

    def visible_hosts(self, now_ms: int) -> dict[str, list[dict[str, Any]]]:
        """Return the hosts that are visible at `now_ms`, without those gone."""
        return {
            "workers": self._visible(self._workers, now_ms),
            "entry_hosts": self._visible(self._entry_hosts, now_ms),
        }

    def _visible(
        self, hosts: dict[str, dict[str, Any]], now_ms: int
    ) -> list[dict[str, Any]]:
        listed = []
        for name, host in hosts.items():
            state = self._state(name, host.get("state", "live"), now_ms)
            if state != "gone":
                listed.append({**host, "state": state})
        return listed

    def _state(self, name: str, first: str, now_ms: int) -> str:
        state = first
        for change in self._changes.get(name, ()):
            if change.shown_ms <= now_ms:
                state = change.state
        return state
