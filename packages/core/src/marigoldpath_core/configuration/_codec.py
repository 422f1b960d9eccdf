"""The JSON form of a configuration."""

from typing import Any, TypedDict

from result import Err, Ok, Result

from marigoldpath_core.requests import (
    Request,
    RequestError,
    RequestPayload,
    Size,
    encode_request,
    parse_request,
)

from ._model import Configuration, TeamQuota, WorkKind


class KindPayload(TypedDict):
    """A kind of work as JSON."""

    name: str
    priority: int
    weight: int
    floor: float
    ceiling: float
    queue_limit: int
    placement: str
    standing: bool
    checkpoint: bool


class QuotaPayload(TypedDict):
    """A team's quota as JSON."""

    team: str
    limit: dict[str, int]
    weight: int


class ConfigurationPayload(TypedDict):
    """A configuration as JSON."""

    version: int
    kinds: list[KindPayload]
    quotas: list[QuotaPayload]
    standing: list[RequestPayload]


def encode_configuration(configuration: Configuration) -> ConfigurationPayload:
    """Return the JSON form of a configuration."""
    return {
        "version": configuration.version,
        "kinds": [_encode_kind(kind) for kind in configuration.kinds],
        "quotas": [_encode_quota(quota) for quota in configuration.quotas],
        "standing": [encode_request(request) for request in configuration.standing],
    }


def decode_configuration(payload: Any) -> Result[Configuration, str]:
    """Return the configuration in a decoded JSON value, or an error message."""
    try:
        return Ok(
            Configuration(
                int(payload["version"]),
                tuple(WorkKind(**kind) for kind in payload["kinds"]),
                tuple(_decode_quota(quota) for quota in payload["quotas"]),
                tuple(_decode_request(request) for request in payload["standing"]),
            )
        )
    except (KeyError, TypeError, ValueError) as error:
        return Err(f"not a configuration: {error!r}")


def _encode_kind(kind: WorkKind) -> KindPayload:
    return kind._asdict()  # type: ignore[return-value]


def _encode_quota(quota: TeamQuota) -> QuotaPayload:
    return {
        "team": quota.team,
        "limit": quota.limit._asdict(),
        "weight": quota.weight,
    }


def _decode_quota(payload: Any) -> TeamQuota:
    return TeamQuota(payload["team"], Size(**payload["limit"]), payload["weight"])


def _decode_request(payload: Any) -> Request:
    parsed: Result[Request, RequestError] = parse_request(payload)
    if parsed.is_err():
        raise ValueError(parsed.unwrap_err().message)
    return parsed.unwrap()
