"""Runs the program by `python -m marigoldpath_cli`."""

import sys

from . import main

if __name__ == "__main__":
    sys.exit(main())
