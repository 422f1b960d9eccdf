"""Writes a trace of bounded size that ends at its first gap."""

import os
import stat
from collections.abc import Iterable
from typing import Any

from marigoldpath_core.settings import ObservabilitySettings

from ._lines import LineWriter

# A snapshot of the journal is one line. A regular file takes it at once.
MAX_TRACE_LINE = 16 * 1_048_576


class TraceWriter:
    """Writes lines until the size in the settings, or until one was not written.

    What comes after a gap cannot be replayed, so the trace ends there.
    """

    def __init__(self, settings: ObservabilitySettings, log: Any) -> None:
        self._settings = settings
        self._log = log
        self._written = 0
        self._lines: LineWriter | None = self._open()

    @property
    def is_open(self) -> bool:
        """Whether lines are still written."""
        return self._lines is not None

    def write(self, lines: Iterable[str]) -> None:
        """Write the lines of one event, or end the trace."""
        for line in lines:
            if self._lines is None:
                return
            size = len(line) + 1
            if self._written + size > self._settings.trace_bytes:
                self.end("the trace has reached trace_bytes")
            elif not self._lines.write(line):
                self.end("a line could not be written")
            self._written += size

    def _open(self) -> LineWriter | None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NONBLOCK | os.O_CLOEXEC
        try:
            descriptor = os.open(self._settings.trace_path, flags, 0o600)
        except OSError as fault:
            self._log.error("no_trace", reason=str(fault))
            return None
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            os.close(descriptor)
            self._log.error("no_trace", reason="trace_path must be a regular file")
            return None
        return LineWriter(descriptor, MAX_TRACE_LINE)

    def end(self, reason: str) -> None:
        """Write no more, and log why."""
        if self._lines is None:
            return
        self._lines.close()
        self._lines = None
        self._log.warning("trace_ended", reason=reason, bytes=self._written)
