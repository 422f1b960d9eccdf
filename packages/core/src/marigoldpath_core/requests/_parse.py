"""Validation and decoding of requests in JSON."""

import re
from typing import Any, NamedTuple, NotRequired, TypedDict

from result import Err, Ok, Result

from ._model import Request, RequestKey, Size

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
MAX_DEADLINE_MS = 7 * 24 * 3600 * 1000
MAX_TASKS = 1_000
MAX_DIMENSION = 10**9


class SizePayload(TypedDict, total=False):
    """A size as JSON."""

    cpu_millis: int
    memory_mb: int
    accelerators: int
    slots: int
    connections: int


class RequestPayload(TypedDict):
    """A request as JSON."""

    id: str
    team: str
    availability_zone: str
    kind: str
    size: SizePayload
    repeatable: NotRequired[bool]
    wait: NotRequired[bool]
    deadline_ms: NotRequired[int]
    tasks: NotRequired[int]
    run_ms: NotRequired[int]
    work: NotRequired[dict[str, Any]]


class RequestError(NamedTuple):
    """A problem in a request: the field and a message with what is expected."""

    code: str
    field: str
    message: str


class _FieldError(Exception):
    def __init__(self, code: str, field: str, message: str) -> None:
        super().__init__(message)
        self.problem = RequestError(code, field, message)


def parse_request(payload: Any) -> Result[Request, RequestError]:
    """Return the request in a decoded JSON value, or the first problem in it."""
    try:
        return Ok(_parse(payload))
    except _FieldError as error:
        return Err(error.problem)


def encode_request(request: Request) -> RequestPayload:
    """Return the JSON form of a request."""
    return {
        "id": request.key.id,
        "team": request.key.team,
        "availability_zone": request.key.availability_zone,
        "kind": request.kind,
        "size": request.size._asdict(),  # type: ignore[typeddict-item]
        "repeatable": request.repeatable,
        "wait": request.wait,
        "deadline_ms": request.deadline_ms,
        "tasks": request.tasks,
        "run_ms": request.run_ms,
        "work": request.work,
    }


def _parse(payload: Any) -> Request:
    if not isinstance(payload, dict):
        raise _FieldError("bad_request", "", "the request must be a JSON object")
    unknown = sorted(set(payload) - set(RequestPayload.__annotations__))
    if unknown:
        raise _FieldError(
            "unknown_field", unknown[0], f"{unknown[0]!r} is not a field of a request"
        )
    key = RequestKey(
        _name(payload, "team"),
        _name(payload, "availability_zone"),
        _name(payload, "id"),
    )
    return Request(
        key=key,
        kind=_name(payload, "kind"),
        size=_size(payload.get("size")),
        repeatable=_boolean(payload, "repeatable", True),
        wait=_boolean(payload, "wait", True),
        deadline_ms=_deadline(payload),
        tasks=_integer(payload, "tasks", 1, 1, MAX_TASKS),
        run_ms=_integer(payload, "run_ms", 0, 0, MAX_DEADLINE_MS),
        work=_work(payload.get("work", {})),
    )


def _name(payload: dict[str, Any], field: str) -> str:
    value = payload.get(field)
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise _FieldError(
            "bad_field",
            field,
            f"{field} must be 1 to 128 letters, digits or '._:-', not {value!r:.80}",
        )
    return value


def _boolean(payload: dict[str, Any], field: str, default: bool) -> bool:
    value = payload.get(field, default)
    if not isinstance(value, bool):
        raise _FieldError("bad_field", field, f"{field} must be true or false")
    return value


def _integer(
    payload: dict[str, Any], field: str, default: int, minimum: int, maximum: int
) -> int:
    value = payload.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise _FieldError("bad_field", field, f"{field} must be a whole number")
    if not minimum <= value <= maximum:
        raise _FieldError(
            "bad_field",
            field,
            f"{field} must be from {minimum} to {maximum}, not {value}",
        )
    return value


def _deadline(payload: dict[str, Any]) -> int:
    """Return the deadline in milliseconds after submission.

    The default is 30 s, or a week for a request that does not wait for its outcome.
    """
    default = 30_000 if payload.get("wait", True) else MAX_DEADLINE_MS
    return _integer(payload, "deadline_ms", default, 1, MAX_DEADLINE_MS)


def _size(payload: Any) -> Size:
    if not isinstance(payload, dict):
        raise _FieldError("bad_field", "size", "size must be a JSON object")
    unknown = sorted(set(payload) - set(Size._fields))
    if unknown:
        raise _FieldError(
            "unknown_field", f"size.{unknown[0]}", f"size has no field {unknown[0]!r}"
        )
    values = {}
    for field in Size._fields:
        default = 1 if field in ("slots", "connections") else 0
        try:
            values[field] = _integer(payload, field, default, 0, MAX_DIMENSION)
        except _FieldError as error:
            problem = error.problem
            raise _FieldError(
                problem.code, f"size.{field}", f"size.{problem.message}"
            ) from None
    return Size(**values)


def _work(payload: Any) -> dict[str, Any]:
    if not isinstance(payload, dict):
        raise _FieldError("bad_field", "work", "work must be a JSON object")
    return payload
