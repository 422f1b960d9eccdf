"""JSON of the messages between entry hosts."""

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
    """The entry host that waits."""

    host: str
    address: str


class SubmissionPayload(TypedDict):
    """A request, or the key of one to cancel."""

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
    """Return a key; raises KeyError, TypeError or ValueError."""
    return RequestKey(*(_text(payload[field]) for field in RequestKey._fields))


def encode_outcome(origin: Origin, outcome: Outcome) -> dict[str, Any]:
    """Return the JSON form of an outcome for a call."""
    payload = outcome._asdict()
    payload["key"] = encode_key(outcome.key)
    payload["answer"] = None if outcome.answer is None else outcome.answer._asdict()
    return {"call": origin.call, **payload}


def decode_outcome(payload: Any) -> Outcome:
    """Return an outcome; raises KeyError, TypeError or ValueError."""
    answer = payload.get("answer")
    if answer is not None:
        answer = Answer(_text(answer["text"]), int(answer["length"]), answer["digest"])
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
    """Return the JSON form of a leader's view, as in a beacon or a redirect."""
    payload = view._asdict()
    del payload["seen_ms"]
    return payload


def decode_view(payload: Any, now_ms: int) -> LeaderView:
    """Return a leader's view; raises KeyError, TypeError or ValueError."""
    return LeaderView(
        _text(payload["availability_zone"]),
        int(payload["epoch"]),
        _text(payload["host"]),
        _text(payload["address"]),
        bool(payload.get("serving", True)),
        int(payload.get("queued", 0)),
        now_ms,
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a text, not {value!r:.80}")
    return value


def outcome_of_state(key: RequestKey, state: Any) -> Outcome | None:
    """Return the outcome in the state of a request, None while it has none."""
    if not isinstance(state, dict) or not state.get("outcome"):
        return None
    try:
        payload = {**state, "kind": state["outcome"], "key": encode_key(key)}
        return decode_outcome(payload)
    except (KeyError, TypeError, ValueError):
        return None
