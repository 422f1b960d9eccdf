"""Runs sessions and finds their golden files."""

from pathlib import Path

from marigoldpath_bench.deployment import REPOSITORY_ROOT

from ._session import SESSIONS, Session
from ._text import session_text

GOLDEN = REPOSITORY_ROOT / "tests" / "golden"


def run_session(name: str) -> str:
    """Return the text of a session; raises UnknownEntryError."""
    session = Session(name)
    SESSIONS.get(name)(session)
    return session_text(session)


def golden_path(name: str) -> Path:
    """Return the golden file of a session."""
    return GOLDEN / f"{name}.txt"
