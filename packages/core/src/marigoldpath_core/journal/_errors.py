"""Errors of the journal."""


class JournalError(Exception):
    """Base class of the errors of the journal."""


class JournalFormatError(JournalError):
    """A row or a snapshot has a format that this version cannot read."""


class JournalNotReadyError(JournalError):
    """An entry was appended while the journal was not open for writing."""
