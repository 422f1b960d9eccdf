"""Writes a trace of limited size, which ends at the first line that is lost."""

import os
import stat
from collections.abc import Iterable
from typing import Any

from marigoldpath_core.settings import ObservabilitySettings

from ._lines import LineWriter

# A journal snapshot is one line, which a regular file accepts in one write.
MAX_TRACE_LINE_BYTES = 16 * 1_048_576


class TraceWriter:
    """Writes lines up to the size in the settings, or until a line is not written.

    Events after a missing line cannot be replayed, so the trace ends there.
    """

    def __init__(self, settings: ObservabilitySettings, log: Any) -> None:
        self._settings = settings
        self._log = log
        self._written_bytes = 0
        self._lines: LineWriter | None = self._open()

    @property
    def is_open(self) -> bool:
        """Whether the trace still accepts lines."""
        return self._lines is not None

    def write(self, lines: Iterable[str]) -> None:
        """Write the lines of one event, or close the trace if one is not written."""
        for line in lines:
            if self._lines is None:
                return
            size = len(line) + 1
            if self._written_bytes + size > self._settings.trace_bytes:
                self.close("the trace has reached trace_bytes")
            elif not self._lines.write(line):
                self.close("a line could not be written")
            self._written_bytes += size

    def _open(self) -> LineWriter | None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NONBLOCK | os.O_CLOEXEC
        try:
            descriptor = os.open(self._settings.trace_path, flags, 0o600)
        except OSError as error:
            self._log.error("no_trace", reason=str(error))
            return None
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            os.close(descriptor)
            self._log.error("no_trace", reason="trace_path must be a regular file")
            return None
        return LineWriter(descriptor, MAX_TRACE_LINE_BYTES)

    def close(self, reason: str) -> None:
        """Close the trace and log the reason."""
        if self._lines is None:
            return
        self._lines.close()
        self._lines = None
        self._log.warning("trace_ended", reason=reason, bytes=self._written_bytes)
