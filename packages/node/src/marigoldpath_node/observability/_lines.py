"""Writes lines to a file descriptor without waiting for the reader."""

import os
import select

# PIPE_BUF on Linux: a pipe that polls as writable accepts this without blocking.
MAX_LINE_BYTES = 4_096


class LineWriter:
    """Writes lines; drops and counts those that the reader is not ready for."""

    def __init__(self, descriptor: int, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self._descriptor = descriptor
        self._max_line_bytes = max_line_bytes
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """The number of lines that were not written."""
        return self._dropped

    def write(self, line: str) -> bool:
        """Write a line; return whether it was written."""
        data = line.encode("utf-8", "replace") + b"\n"
        if len(data) > self._max_line_bytes:
            self._dropped += 1
            return False
        try:
            ready = self._poll.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT:
                self._dropped += 1
                return False
            written = os.write(self._descriptor, data)
        except OSError:
            self._dropped += 1
            return False
        if written < len(data):
            # A full disk may accept only part of the line.
            self._dropped += 1
        return written == len(data)

    def close(self) -> None:
        """Close the descriptor; do not call `write` afterwards."""
        os.close(self._descriptor)
