"""Compare sessions with their golden files, or update the files with `--update`."""

import difflib
import sys

from cyclopts import App

from . import SESSIONS, golden_path, run_session

app = App(name="golden", help="Compare whole sessions with their golden files.")


@app.default
def main(*, update: bool = False) -> int:
    """Print the differences; the exit status is 1 if there are any.

    Parameters
    ----------
    update: rewrite the golden files.
    """
    differing = 0
    for name in SESSIONS:
        path, text = golden_path(name), run_session(name)
        if update:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")
        golden = path.read_text(encoding="utf-8") if path.exists() else ""
        if golden == text:
            continue
        differing += 1
        lines = golden.splitlines(), text.splitlines()
        for line in difflib.unified_diff(*lines, str(path.name), "now", lineterm=""):
            print(line)
    print(f"golden: sessions={len(list(SESSIONS))} differing={differing}", flush=True)
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(app())
