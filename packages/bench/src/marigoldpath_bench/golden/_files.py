"""Run sessions and locate their golden files."""

from pathlib import Path

from marigoldpath_bench.deployment import REPOSITORY_ROOT

from ._session import SESSIONS, Session
from ._text import session_text

GOLDEN_FOLDER = REPOSITORY_ROOT / "tests" / "golden"


def run_session(name: str) -> str:
    """Run a session and return its text; raise UnknownEntryError for its name."""
    session = Session(name)
    SESSIONS.get(name)(session)
    return session_text(session)


def golden_path(name: str) -> Path:
    """Return the path of a session's golden file."""
    return GOLDEN_FOLDER / f"{name}.txt"
