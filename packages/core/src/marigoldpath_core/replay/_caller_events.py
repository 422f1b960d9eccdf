"""Codecs of ticks, of callers' requests and of operators' actions."""

from typing import Any, NamedTuple, TypedDict

from marigoldpath_core.configuration import (
    Configuration,
    ConfigurationPayload,
    decode_configuration,
    encode_configuration,
)
from marigoldpath_core.messages import (
    CancelRequested,
    OutcomeRefusedByOrigin,
    RequestSubmitted,
    Tick,
)
from marigoldpath_core.requests import RequestPayload

from ._codec import Codec, event_codec
from ._fields import (
    decode_key,
    decode_origin,
    decode_whole_request,
    encode_whole_request,
)


class ConfigurationApplied(NamedTuple):
    """A configuration became active; a replay calls `ZoneScheduler.configure`."""

    configuration: Configuration


class DrainBegun(NamedTuple):
    """A graceful stop began; a replay calls `ZoneScheduler.drain`."""


class RequestSubmittedFields(TypedDict):
    """The fields of RequestSubmitted."""

    request: RequestPayload
    origin: list[Any]
    traceparent: str


class CancelRequestedFields(TypedDict):
    """The fields of CancelRequested."""

    key: list[str]
    origin: list[Any]


class OutcomeRefusedFields(TypedDict):
    """The fields of OutcomeRefusedByOrigin."""

    origin: list[Any]


@event_codec(Tick, "tick")
def _tick() -> Codec:
    return Codec(lambda event: {}, lambda fields: Tick())


@event_codec(DrainBegun, "drain")
def _drain() -> Codec:
    return Codec(lambda event: {}, lambda fields: DrainBegun())


@event_codec(ConfigurationApplied, "configure")
def _configure() -> Codec:
    def encode(event: ConfigurationApplied) -> ConfigurationPayload:
        return encode_configuration(event.configuration)

    def decode(fields: ConfigurationPayload) -> ConfigurationApplied:
        decoded = decode_configuration(fields)
        if decoded.is_err():
            raise ValueError(decoded.unwrap_err())
        return ConfigurationApplied(decoded.unwrap())

    return Codec(encode, decode)


@event_codec(RequestSubmitted, "submitted")
def _submitted() -> Codec:
    def encode(event: RequestSubmitted) -> RequestSubmittedFields:
        return {
            "request": encode_whole_request(event.request),
            "origin": list(event.origin),
            "traceparent": event.traceparent,
        }

    def decode(fields: RequestSubmittedFields) -> RequestSubmitted:
        request = decode_whole_request(fields["request"])
        origin = decode_origin(fields["origin"])
        return RequestSubmitted(request, origin, fields["traceparent"])

    return Codec(encode, decode)


@event_codec(CancelRequested, "cancel")
def _cancel() -> Codec:
    def encode(event: CancelRequested) -> CancelRequestedFields:
        return {"key": list(event.key), "origin": list(event.origin)}

    def decode(fields: CancelRequestedFields) -> CancelRequested:
        return CancelRequested(
            decode_key(fields["key"]), decode_origin(fields["origin"])
        )

    return Codec(encode, decode)


@event_codec(OutcomeRefusedByOrigin, "outcome_refused")
def _outcome_refused() -> Codec:
    def encode(event: OutcomeRefusedByOrigin) -> OutcomeRefusedFields:
        return {"origin": list(event.origin)}

    def decode(fields: OutcomeRefusedFields) -> OutcomeRefusedByOrigin:
        return OutcomeRefusedByOrigin(decode_origin(fields["origin"]))

    return Codec(encode, decode)
