"""Resolve the requirements of an input file with pip and pin them with hashes.

usage: pin_requirements.py INPUT OUTPUT
"""

import json
import subprocess
import sys
from pathlib import Path


def resolve(source: Path) -> list[dict]:
    """Return the entries of pip's installation report for the file `source`."""
    command = [
        sys.executable,
        "-m",
        "pip",
        "install",
        "--quiet",
        "--dry-run",
        "--ignore-installed",
        "--report",
        "-",
        "-r",
        str(source),
    ]
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    return json.loads(completed.stdout)["install"]


def main() -> None:
    source, target = Path(sys.argv[1]), Path(sys.argv[2])
    lines = []
    for entry in resolve(source):
        name = entry["metadata"]["name"].lower()
        version = entry["metadata"]["version"]
        digest = entry["download_info"]["archive_info"]["hashes"]["sha256"]
        lines.append(f"{name}=={version} --hash=sha256:{digest}")
    target.write_text("\n".join(sorted(lines)) + "\n")


if __name__ == "__main__":
    main()
