"""The planners' sheet: the desired configuration as a CSV export of a spreadsheet."""

from marigoldpath_core.configuration import (
    Change,
    ChangeType,
    decode_configuration,
    diff,
    encode_configuration,
)

from ._columns import COLUMNS, column
from ._expand import to_configuration
from ._model import RowType, Sheet, SheetProblem, Workload
from ._parse import parse_sheet, read_configuration

__all__ = [
    "COLUMNS",
    "Change",
    "ChangeType",
    "RowType",
    "Sheet",
    "SheetProblem",
    "Workload",
    "column",
    "decode_configuration",
    "diff",
    "encode_configuration",
    "parse_sheet",
    "read_configuration",
    "to_configuration",
]
