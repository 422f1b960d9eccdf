"""Runs the daemon by `python -m marigoldpath_node`."""

import sys

from .daemon import main

if __name__ == "__main__":
    sys.exit(main())
