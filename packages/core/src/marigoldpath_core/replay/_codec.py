"""The registry of the JSON forms of events."""

from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_core.registry import Registry


class Codec(NamedTuple):
    """How the fields of one type of event become JSON and are read again."""

    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


CodecMaker = Callable[[], Codec]
EVENT_CODECS: Registry[type, CodecMaker] = Registry("event codec")
EVENT_TYPES: Registry[str, type] = Registry("event name")
_names: dict[type, str] = {}
_codecs: dict[type, Codec] = {}


def event_codec(event_type: type, name: str) -> Callable[[CodecMaker], CodecMaker]:
    """Return a decorator that registers the codec of a type under its name in JSON."""
    EVENT_TYPES.register(name)(event_type)
    _names[event_type] = name
    return EVENT_CODECS.register(event_type)


def encode_event(event: Any) -> tuple[str, Any]:
    """Return the name and the fields of an event; raises UnknownEntryError."""
    codec = _codec(type(event))
    return _names[type(event)], codec.encode(event)


def decode_event(name: str, fields: Any) -> Any:
    """Return an event.

    Raises UnknownEntryError, KeyError, TypeError or ValueError.
    """
    return _codec(EVENT_TYPES.get(name)).decode(fields)


def _codec(event_type: type) -> Codec:
    if event_type not in _codecs:
        _codecs[event_type] = EVENT_CODECS.get(event_type)()
    return _codecs[event_type]
