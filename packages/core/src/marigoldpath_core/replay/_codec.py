"""The registry of the codecs that convert events to and from JSON."""

from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_core.registry import Registry


class Codec(NamedTuple):
    """Functions that convert the fields of one type of event to and from JSON."""

    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


CodecFactory = Callable[[], Codec]
EVENT_CODECS: Registry[type, CodecFactory] = Registry("event codec")
EVENT_TYPES: Registry[str, type] = Registry("event name")
_name_by_type: dict[type, str] = {}
_codec_by_type: dict[type, Codec] = {}


def event_codec(event_type: type, name: str) -> Callable[[CodecFactory], CodecFactory]:
    """Return a decorator that registers the codec and JSON name of an event type."""
    EVENT_TYPES.register(name)(event_type)
    _name_by_type[event_type] = name
    return EVENT_CODECS.register(event_type)


def encode_event(event: Any) -> tuple[str, Any]:
    """Return the JSON name and fields of an event; raises UnknownEntryError."""
    codec = _codec(type(event))
    return _name_by_type[type(event)], codec.encode(event)


def decode_event(name: str, fields: Any) -> Any:
    """Return the event with this name and these fields.

    Raises UnknownEntryError, KeyError, TypeError or ValueError.
    """
    return _codec(EVENT_TYPES.get(name)).decode(fields)


def _codec(event_type: type) -> Codec:
    if event_type not in _codec_by_type:
        _codec_by_type[event_type] = EVENT_CODECS.get(event_type)()
    return _codec_by_type[event_type]
