"""Errors of the journal."""


class JournalError(Exception):
    """The base of the journal's errors."""


class JournalFormatError(JournalError):
    """A row or a snapshot that this version cannot read."""


class JournalNotReadyError(JournalError):
    """An entry was appended while the journal was not open for writing."""
