"""Finds the workspace of an API key without keeping the key."""

from collections.abc import Iterable
from hashlib import sha256


class ApiKeyIndex:
    """Maps API keys to the names of their workspaces.

    Only SHA-256 digests of the keys are kept, so no key is in the memory of the index.
    A key is looked up by its digest: the time that the comparison takes depends on the
    digest of the given key and reveals nothing about a valid one.
    """

    def __init__(self, keys: Iterable[tuple[bytes, str]] = ()) -> None:
        """Index pairs of a key and the name of its workspace.

        A key that several workspaces have belongs to the first of them. An empty key is
        omitted: a call without a key must not be taken for one with a key.
        """
        self._workspaces: dict[bytes, str] = {}
        for key, workspace in keys:
            if key:
                self._workspaces.setdefault(sha256(key).digest(), workspace)

    def __len__(self) -> int:
        return len(self._workspaces)

    def __repr__(self) -> str:
        return f"ApiKeyIndex({len(self)} keys)"

    def find(self, key: bytes) -> str | None:
        """Return the name of the workspace that a key belongs to, or None."""
        return self._workspaces.get(sha256(key).digest())
