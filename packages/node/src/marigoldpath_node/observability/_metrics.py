"""Sends metrics to statsd over UDP."""

import socket

from statsd.client.udp import StatsClient

from marigoldpath_core.settings import ObservabilitySettings

PREFIX = "marigoldpath"
# Limits the memory for names created at run time, such as those of kinds of work.
MAX_NAMES = 1_000


class _NonBlockingStatsClient(StatsClient):
    def __init__(self, ip: str, port: int, prefix: str) -> None:
        super().__init__(ip, port, prefix=prefix, ipv6=":" in ip)
        self._sock.setblocking(False)
        self.dropped = 0

    def _send(self, data: str) -> None:
        try:
            self._sock.sendto(data.encode("ascii", "replace"), self._addr)
        except OSError:
            self.dropped += 1


class Metrics:
    """Counters and gauges, kept in memory until `flush` sends them."""

    def __init__(self, settings: ObservabilitySettings, host: str) -> None:
        self._client = _create_client(settings, host)
        self._counters: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._gauges: dict[str, float] = {}

    @property
    def counters(self) -> dict[str, int]:
        """The totals since the start of the process."""
        return dict(self._counters)

    @property
    def dropped(self) -> int:
        """The number of datagrams that could not be sent."""
        return 0 if self._client is None else self._client.dropped

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        if name in self._counters or len(self._counters) < MAX_NAMES:
            self._counters[name] = self._counters.get(name, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if name in self._gauges or len(self._gauges) < MAX_NAMES:
            self._gauges[name] = value

    def flush(self) -> None:
        """Send the changes since the last flush."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, total in self._counters.items():
                amount = total - self._sent.get(name, 0)
                if amount:
                    pipe.incr(name, amount)
                    self._sent[name] = total
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
        self._gauges.clear()


def _create_client(
    settings: ObservabilitySettings, host: str
) -> _NonBlockingStatsClient | None:
    if not settings.statsd_address:
        return None
    ip, _, port = settings.statsd_address.rpartition(":")
    socket.inet_pton(socket.AF_INET6 if ":" in ip else socket.AF_INET, ip)
    return _NonBlockingStatsClient(ip, int(port), f"{PREFIX}.{host}")
