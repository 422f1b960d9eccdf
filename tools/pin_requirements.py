"""Resolve the requirements of an input file and pin them with hashes.

The output has the hashes of all published files of a version, so that it installs on
every architecture. The interpreter that runs this needs the package `pip-tools`.

usage: pin_requirements.py INPUT OUTPUT
"""

import subprocess
import sys

# Addresses, options and comments of the resolving machine stay out of the output.
COMPILE_OPTIONS = (
    "--quiet",
    "--generate-hashes",
    "--allow-unsafe",
    "--strip-extras",
    "--no-emit-trusted-host",
    "--no-emit-options",
    "--no-annotate",
    "--no-header",
)


def main() -> int:
    source, target = sys.argv[1:]
    command = [sys.executable, "-m", "piptools", "compile", *COMPILE_OPTIONS]
    completed = subprocess.run([*command, "--output-file", target, source], check=False)
    return completed.returncode


if __name__ == "__main__":
    sys.exit(main())
