"""Shows the progress of a waiting command on stderr."""

from typing import TextIO

from rich.console import Console
from rich.live import Live
from rich.text import Text

from ._render import printable


class Progress:
    """A status line, updated in place on a terminal and else printed on each change.

    Only `show` refreshes it, because a refresh thread would break the rule of one
    loop on one thread.
    """

    def __init__(self, stream: TextIO) -> None:
        self._console = Console(file=stream, highlight=False)
        self._live: Live | None = None
        self._last = ""

    def __enter__(self) -> "Progress":
        if self._console.is_terminal:
            self._live = Live(console=self._console, auto_refresh=False, transient=True)
            self._live.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self._live is not None:
            self._live.stop()

    def show(self, text: str) -> None:
        """Show a new status."""
        line = Text(printable(text))
        if self._live is not None:
            self._live.update(line, refresh=True)
        elif text != self._last:
            self._console.print(line, soft_wrap=True)
        self._last = text
