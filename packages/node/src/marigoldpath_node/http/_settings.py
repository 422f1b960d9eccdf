"""The settings of a server."""

from typing import NamedTuple


class HttpServerSettings(NamedTuple):
    """Limits of a server; times in seconds, sizes in bytes.

    `first_s` limits the wait for the first request on an open connection, `idle_s` for
    the next one. `head_s` limits the time to receive a head and `read_s` the time to
    receive a complete request, and `write_s` the time to send a response, so that a
    slow client does not occupy a connection for long; `read_s` and `write_s` are
    extended for what is transferred at a useful rate. Requests to targets that start
    with `large_body_prefix` may have a body of `max_large_body`. With `has_repeats`,
    clients repeat requests under an id that the server does not read: a request that is
    refused may be the repeat of one that was served, so the refusal does not say that
    it has not run.
    """

    host: str
    port: int
    max_body: int = 1_048_576
    max_connections: int = 4_096
    idle_s: float = 60.0
    read_s: float = 5.0
    write_s: float = 10.0
    large_body_prefix: str = ""
    max_large_body: int = 16_777_216
    first_s: float = 15.0
    head_s: float = 3.0
    max_head: int = 16_384
    has_repeats: bool = False

    def body_limit(self, target: str) -> int:
        """Return the limit on the body of a request to `target`."""
        if self.large_body_prefix and target.startswith(self.large_body_prefix):
            return self.max_large_body
        return self.max_body
