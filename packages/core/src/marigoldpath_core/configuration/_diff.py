"""The differences between two configurations."""

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Any, NamedTuple

from ._model import Configuration


class ChangeType(StrEnum):
    """How a part of the configuration changes."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Change(NamedTuple):
    """One change; `field`, `before` and `after` are empty unless `sort` is CHANGED."""

    sort: ChangeType
    subject: str
    name: str
    field: str = ""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        text = f"{self.subject} {self.name} {self.sort}"
        if self.sort is ChangeType.CHANGED:
            return f"{text}: {self.field} from {self.before} to {self.after}"
        return text


def diff(old: Configuration, new: Configuration) -> list[Change]:
    """Return the changes between two configurations; version numbers are ignored."""
    return [
        *_compare("kind", old.kinds, new.kinds, "name"),
        *_compare("team", old.quotas, new.quotas, "team"),
        *_compare("work", old.standing, new.standing, "key"),
    ]


def _compare(
    subject: str, old: Iterable[Any], new: Iterable[Any], key: str
) -> Iterator[Change]:
    before = {str(getattr(item, key)): item for item in old}
    after = {str(getattr(item, key)): item for item in new}
    for name, item in before.items():
        if name not in after:
            yield Change(ChangeType.REMOVED, subject, name)
        else:
            yield from _compare_fields(subject, name, item, after[name])
    for name in after:
        if name not in before:
            yield Change(ChangeType.ADDED, subject, name)


def _compare_fields(subject: str, name: str, old: Any, new: Any) -> Iterator[Change]:
    for field, before, after in zip(old._fields, old, new):
        if before == after:
            continue
        if hasattr(before, "_fields"):
            yield from _compare_fields(subject, name, before, after)
        else:
            yield Change(
                ChangeType.CHANGED,
                subject,
                name,
                field,
                _format_value(before),
                _format_value(after),
            )


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
