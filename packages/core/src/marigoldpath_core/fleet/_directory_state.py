"""What a leader knows of the directory besides the workers themselves."""

import math
from typing import NamedTuple


class IgnoredEntries(NamedTuple):
    """The entries of the last list that name no worker of the cell, by service."""

    total: int = 0
    by_service: tuple[tuple[str, int], ...] = ()


class DirectoryState:
    """The services whose workers the cell uses, and what the directory has besides."""

    def __init__(self) -> None:
        # Those of the configuration, None until it is known.
        self.configured_services: set[str] | None = None
        # Those of the queues of all jobs that were read in this term. A configuration
        # may drop a service while its jobs are open.
        self.job_services: set[str] = set()
        # How often each worker that was removed had restarted in this term.
        self.removed_restarts: dict[str, int] = {}
        self.ignored = IgnoredEntries()
        self.logged = IgnoredEntries()
        self.logged_ms = -math.inf
