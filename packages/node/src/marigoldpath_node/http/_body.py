"""A body that arrives in parts."""

# A single buffer for a body would be copied when it grows, and be larger than the body.
PART_BYTES = 65_536


class BodyParts:
    """The received bytes of a body, in parts of a bounded size."""

    def __init__(self) -> None:
        self.size = 0
        self._parts: list[bytearray] = []

    def add(self, data: bytes | bytearray) -> None:
        """Append received bytes."""
        self.size += len(data)
        if self._parts and len(self._parts[-1]) + len(data) <= PART_BYTES:
            self._parts[-1] += data
        else:
            self._parts.append(bytearray(data))

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join(self._parts)
