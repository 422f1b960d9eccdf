"""Runs the daemon."""

import sys

from .daemon import main

if __name__ == "__main__":
    sys.exit(main())
