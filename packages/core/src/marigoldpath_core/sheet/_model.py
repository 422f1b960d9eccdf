"""Data types of the planners' sheet."""

from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.configuration import TeamQuota, WorkKind
from marigoldpath_core.requests import Size


class RowType(StrEnum):
    """What a row of the sheet describes."""

    KIND = "kind"
    TEAM = "team"
    SERVICE = "service"
    BATCH = "batch"
    JOB = "job"


class Workload(NamedTuple):
    """Work that the sheet asks to have run.

    A `service` keeps its tasks running, a `batch` runs each of them once and a `job`
    starts all of them together or none.
    """

    sort: RowType
    id: str
    team: str
    availability_zone: str
    kind: str
    size: Size
    tasks: int = 1
    repeatable: bool = True
    work: dict[str, Any] = {}  # noqa: RUF012


class Sheet(NamedTuple):
    """The content of a sheet, in the order of its rows."""

    kinds: tuple[WorkKind, ...] = ()
    teams: tuple[TeamQuota, ...] = ()
    workloads: tuple[Workload, ...] = ()


class SheetProblem(NamedTuple):
    """A fault in a sheet; `row` counts as a spreadsheet does, 0 is the whole file."""

    row: int
    column: str
    value: str
    expected: str

    def __str__(self) -> str:
        place = f"row {self.row}" if self.row else "the file"
        if self.column:
            place += f", column {self.column!r}"
        return f"{place}: {self.value or 'empty'}: {self.expected}"
