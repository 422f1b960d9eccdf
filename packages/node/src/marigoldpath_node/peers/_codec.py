"""JSON encoding of the messages between entry hosts."""

from typing import Any, NotRequired, TypedDict

from marigoldpath_core.requests import (
    Answer,
    Origin,
    Outcome,
    OutcomeKind,
    RequestKey,
    RequestPayload,
)
from marigoldpath_core.routing import LeaderView


class OriginPayload(TypedDict):
    """The entry host that waits for the outcome."""

    host: str
    address: str


class SubmissionPayload(TypedDict):
    """A request, or the key of a request to cancel."""

    call: int
    request: NotRequired[RequestPayload]
    cancel: NotRequired[dict[str, str]]
    traceparent: str


class SubmitPayload(TypedDict):
    """The body of POST /v1/peer/submit."""

    availability_zone: str
    requests: list[SubmissionPayload]
    origin: OriginPayload
    hops: int


def encode_key(key: RequestKey) -> dict[str, str]:
    """Return the JSON form of a key."""
    return key._asdict()


def decode_key(payload: Any) -> RequestKey:
    """Return a key; raise KeyError, TypeError or ValueError if it is malformed."""
    return RequestKey(*(_require_text(payload[field]) for field in RequestKey._fields))


def encode_outcome(origin: Origin, outcome: Outcome) -> dict[str, Any]:
    """Return the JSON form of an outcome for a call."""
    payload = outcome._asdict()
    payload["key"] = encode_key(outcome.key)
    payload["answer"] = None if outcome.answer is None else outcome.answer._asdict()
    return {"call": origin.call, **payload}


def decode_outcome(payload: Any) -> Outcome:
    """Return an outcome; raise KeyError, TypeError or ValueError if malformed."""
    answer = payload.get("answer")
    if answer is not None:
        answer = Answer(
            _require_text(answer["text"]), int(answer["length"]), answer["digest"]
        )
    return Outcome(
        decode_key(payload["key"]),
        OutcomeKind(payload["kind"]),
        payload.get("code", ""),
        payload.get("message", ""),
        payload.get("field", ""),
        answer,
        int(payload.get("retry_after_ms", 0)),
    )


def encode_view(view: LeaderView) -> dict[str, Any]:
    """Return the JSON form of a leader view, as used in beacons and redirects."""
    payload = view._asdict()
    del payload["seen_ms"]
    return payload


def decode_view(payload: Any, now_ms: int) -> LeaderView:
    """Return a leader view; raise KeyError, TypeError or ValueError if malformed."""
    return LeaderView(
        _require_text(payload["availability_zone"]),
        int(payload["epoch"]),
        _require_text(payload["host"]),
        _require_text(payload["address"]),
        bool(payload.get("serving", True)),
        int(payload.get("queued", 0)),
        now_ms,
    )


def _require_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a text, not {value!r:.80}")
    return value


def decode_state_outcome(key: RequestKey, state: Any) -> Outcome | None:
    """Return the outcome in a request's state, or None if it has no valid one."""
    if not isinstance(state, dict) or not state.get("outcome"):
        return None
    try:
        payload = {**state, "kind": state["outcome"], "key": encode_key(key)}
        return decode_outcome(payload)
    except (KeyError, TypeError, ValueError):
        return None
