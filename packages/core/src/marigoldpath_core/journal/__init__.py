"""The journal of an availability zone: a write-ahead log in the platform's table.

The package does no input or output. `Journal` returns effects and processes events.
The runtime executes the effects, passes the reply to each read or write to
`Journal.handle`, and calls `Journal.tick` at `wake_ms`.
"""

from ._entries import (
    Accepted,
    Cancelled,
    Entry,
    EpochBegun,
    Finished,
    Intent,
    Snapshot,
)
from ._entry_handlers import (
    EntryHandler,
    EntryPayload,
    decode_entry,
    encode_entry,
    entry_handler,
)
from ._errors import JournalError, JournalFormatError, JournalNotReadyError
from ._journal import Journal, UnconfirmedEntries
from ._rows import JournalRow, RowPayload, SnapshotPayload, decode_row, encode_row
from ._state import JournalState, RecoveredRequest

__all__ = [
    "Accepted",
    "Cancelled",
    "Entry",
    "EntryHandler",
    "EntryPayload",
    "EpochBegun",
    "Finished",
    "Intent",
    "Journal",
    "JournalError",
    "JournalFormatError",
    "JournalNotReadyError",
    "JournalRow",
    "JournalState",
    "RecoveredRequest",
    "RowPayload",
    "Snapshot",
    "SnapshotPayload",
    "UnconfirmedEntries",
    "decode_entry",
    "decode_row",
    "encode_entry",
    "encode_row",
    "entry_handler",
]
