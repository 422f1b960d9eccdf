"""Data types of the planners' sheet."""

from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.configuration import TeamQuota, WorkKind
from marigoldpath_core.requests import Size


class RowType(StrEnum):
    """The type of a row of the sheet."""

    KIND = "kind"
    TEAM = "team"
    SERVICE = "service"
    BATCH = "batch"
    JOB = "job"


class Workload(NamedTuple):
    """A service, batch or job that a row of the sheet describes.

    A `service` keeps its tasks running, a `batch` runs each of them once, and a `job`
    starts all of them together or none.
    """

    row_type: RowType
    id: str
    team: str
    availability_zone: str
    kind: str
    size: Size
    tasks: int = 1
    repeatable: bool = True
    work: dict[str, Any] = {}  # noqa: RUF012


class Sheet(NamedTuple):
    """The contents of a sheet, in the order of its rows."""

    kinds: tuple[WorkKind, ...] = ()
    teams: tuple[TeamQuota, ...] = ()
    workloads: tuple[Workload, ...] = ()


class SheetProblem(NamedTuple):
    """A problem in a sheet; `expected` describes a valid value.

    `row` is the row number that a spreadsheet shows, or 0 for the whole file.
    """

    row: int
    column: str
    value: str
    expected: str

    def __str__(self) -> str:
        place = f"row {self.row}" if self.row else "the file"
        if self.column:
            place += f", column {self.column!r}"
        return f"{place}: {self.value or 'empty'}: {self.expected}"
