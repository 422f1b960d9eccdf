"""The planners' sheet: what operators want, as a CSV that a spreadsheet exports."""

from marigoldpath_core.configuration import (
    Change,
    ChangeSort,
    decode_configuration,
    diff,
    encode_configuration,
)

from ._columns import COLUMNS, column
from ._expand import to_configuration
from ._model import Description, RowSort, Sheet, SheetFault
from ._parse import parse_sheet, read_configuration

__all__ = [
    "COLUMNS",
    "Change",
    "ChangeSort",
    "Description",
    "RowSort",
    "Sheet",
    "SheetFault",
    "column",
    "decode_configuration",
    "diff",
    "encode_configuration",
    "parse_sheet",
    "read_configuration",
    "to_configuration",
]
