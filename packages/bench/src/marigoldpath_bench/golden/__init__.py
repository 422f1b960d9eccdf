"""Compare simulated sessions with golden files.

Run `python -m marigoldpath_bench.golden [--update]`.
"""

from . import _sfax, _skala  # noqa: F401  (fill the registry)
from ._files import GOLDEN_FOLDER, golden_path, run_session
from ._session import SESSIONS, Session, session

__all__ = [
    "GOLDEN_FOLDER",
    "SESSIONS",
    "Session",
    "golden_path",
    "run_session",
    "session",
]
