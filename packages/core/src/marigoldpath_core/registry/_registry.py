"""A mapping from keys to the functions that decorators register for them."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Entry = TypeVar("Entry", bound=Callable)


class UnknownEntryError(LookupError):
    """Raised when nothing is registered for a key."""


class Registry(Generic[Key, Entry]):
    """Functions by key, registered by a decorator when their module is imported."""

    def __init__(self, subject: str) -> None:
        self._subject = subject
        self._entries: dict[Key, Entry] = {}

    def __iter__(self) -> Iterator[Key]:
        return iter(self._entries)

    def __contains__(self, key: Key) -> bool:
        return key in self._entries

    def register(self, key: Key) -> Callable[[Entry], Entry]:
        """Return a decorator that registers a function under `key`.

        Raises ValueError if the key is registered already.
        """

        def decorate(entry: Entry) -> Entry:
            if key in self._entries:
                raise ValueError(f"{self._subject} {key!r} is registered twice")
            self._entries[key] = entry
            return entry

        return decorate

    def get(self, key: Key) -> Entry:
        """Return the function for `key`, or raise UnknownEntryError."""
        try:
            return self._entries[key]
        except KeyError:
            known = ", ".join(sorted(str(name) for name in self._entries))
            message = f"unknown {self._subject} {key!r}; known: {known}"
            raise UnknownEntryError(message) from None
