"""Exit codes of the operators' program."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The result of a command; the numbers are stable, so that scripts can use them."""

    OK = 0
    FAILED = 1
    WRONG_USE = 2
    UNREACHABLE = 3
    DENIED = 4
    NOT_FOUND = 5
    FAULTS = 6
    CONFLICT = 7
    UNKNOWN = 8
    PARTIAL = 9
    INTERRUPTED = 130


MEANINGS = {
    ExitCode.OK: "The command did what it was asked to.",
    ExitCode.FAILED: "The entry host refused, or its reply was not understood.",
    ExitCode.WRONG_USE: "The command line, the environment or a file is wrong.",
    ExitCode.UNREACHABLE: "No entry host answered; nothing was changed.",
    ExitCode.DENIED: "The key is missing, wrong or not that of an operator.",
    ExitCode.NOT_FOUND: "There is no such request, host or version.",
    ExitCode.FAULTS: "The sheet or the settings file has faults; all are listed.",
    ExitCode.CONFLICT: "Another operator's change came first; nothing was changed.",
    ExitCode.UNKNOWN: "An answer was lost and the change may have taken effect.",
    ExitCode.PARTIAL: "The sheet is accepted, but a zone is cut off or behind.",
    ExitCode.INTERRUPTED: "The command was interrupted.",
}


def exit_codes_reference() -> str:
    """Return the reference page of the exit codes in Markdown."""
    lines = [
        "# Exit codes",
        "",
        "The operators' program `marigoldpath` ends with one of these codes.",
        "`exit_codes_reference()` makes this page.",
        "",
        "| code | name | meaning |",
        "|---|---|---|",
    ]
    for code in ExitCode:
        lines.append(f"| {code:d} | `{code.name}` | {MEANINGS[code]} |")
    return "\n".join(lines) + "\n"
