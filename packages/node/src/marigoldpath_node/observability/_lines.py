"""Writes lines to a file descriptor without waiting for its reader."""

import os
import select

# A pipe that polls as writable takes this much (PIPE_BUF on Linux) without blocking.
MAX_LINE = 4_096


class LineWriter:
    """Writes whole lines, or drops and counts them while the receiver is not ready."""

    def __init__(self, descriptor: int, max_line: int = MAX_LINE) -> None:
        self._descriptor = descriptor
        self._max_line = max_line
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that were not written."""
        return self._dropped

    def write(self, line: str) -> bool:
        """Write a line; return whether it was written."""
        data = line.encode("utf-8", "replace") + b"\n"
        if len(data) > self._max_line:
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
            # A full disk takes a part of a line.
            self._dropped += 1
        return written == len(data)

    def close(self) -> None:
        """Close the descriptor; nothing may be written afterwards."""
        os.close(self._descriptor)
