"""JSON encoding of the stored progress of jobs.

The progress of a large job can exceed the size of a row, so it may take several rows,
its parts. Each part is a JSON object with some entries of the tables.
"""

from typing import Any, TypedDict

from marigoldpath_core.jobs import JobState, Progress, RecordedStart

from ._codec import from_json, to_json

# A mask that begins with fewer done tasks is stored without their number.
MIN_COUNTED_TASKS = 64
# What an entry takes beside its key and its value: quotes, a colon and a comma.
ENTRY_OVERHEAD_BYTES = 6
# What a part takes beside its entries: the names of the tables and the other fields.
PART_OVERHEAD_BYTES = 200


class ProgressData(TypedDict, total=False):
    """The stored progress of a job, with the fields of `Progress`.

    The tuples of numbers that are the keys are joined by dots. The values of `starts`
    are those of RecordedStart. The bit masks in `done` are hexadecimal; `N+MASK` are N
    done tasks and the mask of those that follow them. `early` are pairs of the first
    and the last of a range. `parts` is the number of rows, omitted if it is 1. All
    fields but the tables are in the first row alone.
    """

    state: str
    done: dict[str, str]
    failures: dict[str, list[int]]
    checkpoints: dict[str, str]
    spread: bool
    crashes: dict[str, list[int]]
    starts: dict[str, list[Any]]
    begun: int
    early: list[tuple[int, int]]
    parts: int


def encode_progress(progress: Progress, max_row_bytes: int) -> list[bytes]:
    """Encode a job's progress for the store, in rows of `max_row_bytes` at most.

    A single entry is not divided.
    """
    fields: dict[str, Any] = {"state": progress.state.value}
    if progress.may_leave_zone:
        fields["spread"] = True
    if progress.begun_occurrences:
        fields["begun"] = progress.begun_occurrences
    if progress.begun_early:
        fields["early"] = _to_ranges(progress.begun_early)
    tables = {name: table for name, table in _tables(progress).items() if table}
    whole = to_json(fields | tables)
    if len(whole) <= max_row_bytes:
        return [whole]
    parts = _divide(tables, max_row_bytes)
    fields["parts"] = len(parts)
    return [to_json(part) for part in (fields | parts[0], *parts[1:])]


def _tables(progress: Progress) -> dict[str, dict[str, Any]]:
    return {
        "done": {
            _join_numbers(key): _encode_mask(mask)
            for key, mask in progress.done.items()
        },
        "failures": {
            _join_numbers(key): [*runs] for key, runs in progress.failures.items()
        },
        "checkpoints": {
            _join_numbers(key): text for key, text in progress.checkpoints.items()
        },
        "crashes": {
            _join_numbers(key): [*runs] for key, runs in progress.crashes.items()
        },
        "starts": {
            _join_numbers(key): [*start]
            for key, start in progress.recorded_starts.items()
        },
    }


def _divide(
    tables: dict[str, dict[str, Any]], max_row_bytes: int
) -> list[dict[str, dict[str, Any]]]:
    """Divide the entries of tables into parts of limited size when encoded."""
    parts: list[dict[str, dict[str, Any]]] = [{}]
    room = max_row_bytes - PART_OVERHEAD_BYTES
    for name, table in tables.items():
        for key, value in table.items():
            size = len(key) + len(to_json(value)) + ENTRY_OVERHEAD_BYTES
            if size > room and parts[-1]:
                parts.append({})
                room = max_row_bytes - PART_OVERHEAD_BYTES
            room -= size
            parts[-1].setdefault(name, {})[key] = value
    return parts


def decode_progress(rows: list[bytes]) -> Progress:
    """Decode the stored progress of a job.

    `rows` are its parts in order; those of an earlier, longer progress may follow.
    Raises ValueError if a part is missing.
    """
    data: ProgressData = from_json(rows[0])
    count = data.get("parts", 1)
    if len(rows) < count:
        raise ValueError(f"{count - len(rows)} of {count} rows are missing")
    tables: dict[str, dict[str, Any]] = {}
    for row in rows[:count]:
        for name, value in from_json(row).items():
            if isinstance(value, dict):
                tables.setdefault(name, {}).update(value)
    return Progress(
        JobState(data["state"]),
        {
            _parse_pair(key): _decode_mask(mask)
            for key, mask in tables.get("done", {}).items()
        },
        {
            _parse_triple(key): tuple(runs)
            for key, runs in tables.get("failures", {}).items()
        },
        {
            _parse_triple(key): text
            for key, text in tables.get("checkpoints", {}).items()
        },
        data.get("spread", False),
        {
            _parse_triple(key): tuple(runs)
            for key, runs in tables.get("crashes", {}).items()
        },
        {
            _parse_triple(key): RecordedStart(*start)
            for key, start in tables.get("starts", {}).items()
        },
        data.get("begun", 0),
        _from_ranges(data.get("early", [])),
    )


def decode_state(first_row: bytes) -> JobState:
    """Decode the state in the first row of a job's progress."""
    data: ProgressData = from_json(first_row)
    return JobState(data["state"])


def _encode_mask(mask: int) -> str:
    """Encode a mask, briefly if most of the first tasks are done."""
    counted = (mask ^ (mask + 1)).bit_length() - 1
    if counted < MIN_COUNTED_TASKS:
        return f"{mask:x}"
    return f"{counted}+{mask >> counted:x}"


def _decode_mask(text: str) -> int:
    counted, separator, rest = text.rpartition("+")
    if not separator:
        return int(rest, 16)
    return (1 << int(counted)) - 1 | int(rest, 16) << int(counted)


def _to_ranges(numbers: tuple[int, ...]) -> list[tuple[int, int]]:
    """Return pairs of the first and the last of the ranges in ascending numbers."""
    ranges: list[tuple[int, int]] = []
    for number in numbers:
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1] = (ranges[-1][0], number)
        else:
            ranges.append((number, number))
    return ranges


def _from_ranges(ranges: list[tuple[int, int]]) -> tuple[int, ...]:
    return tuple(number for first, last in ranges for number in range(first, last + 1))


def _join_numbers(key: tuple[int, ...]) -> str:
    return ".".join(map(str, key))


def _parse_pair(key: str) -> tuple[int, int]:
    first, second = map(int, key.split("."))
    return first, second


def _parse_triple(key: str) -> tuple[int, int, int]:
    first, second, third = map(int, key.split("."))
    return first, second, third
