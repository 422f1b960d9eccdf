"""Reads and writes the files that are given to commands."""

from pathlib import Path

from ._errors import CommandError
from ._exit_codes import ExitCode

MAX_FILE_BYTES = 64 * 1_048_576


def read_file(name: str) -> bytes:
    """Return the content of a file; raises CommandError if it cannot be read."""
    path = Path(name)
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise CommandError(
                ExitCode.WRONG_USE, f"{name} is over {MAX_FILE_BYTES} bytes"
            )
        return path.read_bytes()
    except OSError as error:
        message = f"cannot read {name}: {error.strerror}"
        raise CommandError(ExitCode.WRONG_USE, message) from None


def write_file(name: str, text: str) -> None:
    """Write a file; raises CommandError if it cannot be written."""
    try:
        Path(name).write_text(text, encoding="utf-8")
    except OSError as error:
        message = f"cannot write {name}: {error.strerror}"
        raise CommandError(ExitCode.FAILED, message) from None
