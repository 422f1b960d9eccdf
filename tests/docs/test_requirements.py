"""Tests that the pinned requirements install on every supported architecture."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
REQUIREMENT_FILES = ("requirements.txt", "requirements-daemon.txt")
REQUIREMENT = re.compile(r"^([A-Za-z0-9_.-]+)==(\S+)(.*?)(?=^[A-Za-z]|\Z)", re.M | re.S)
# These packages are published as one source archive, which every architecture builds.
SOURCE_ONLY_PACKAGES = {"curio"}


def read_hash_counts(text: str) -> dict[str, int]:
    """Return the number of hashes of each pinned package."""
    return {
        name: rest.count("--hash=sha256:")
        for name, _, rest in REQUIREMENT.findall(text)
    }


class RequirementFilesTest(unittest.TestCase):
    def test_each_package_has_hashes_for_every_architecture(self):
        """Guards against pins that install on the machine that wrote them alone.

        A file with the hash of a single wheel fails to install on every machine of
        another architecture, before any test runs.
        """
        for name in REQUIREMENT_FILES:
            counts = read_hash_counts((ROOT / name).read_text())
            with self.subTest(file=name):
                self.assertIn("h11", counts)
                single = {each for each, count in counts.items() if count < 2}
                self.assertEqual(single, SOURCE_ONLY_PACKAGES)

    def test_no_download_address_is_pinned(self):
        """Guards against files that work only where one registry is reachable."""
        for name in REQUIREMENT_FILES:
            with self.subTest(file=name):
                self.assertNotIn("://", (ROOT / name).read_text())

    def test_the_daemon_has_the_versions_that_are_tested(self):
        """Guards against tests that run on other versions than the daemon."""
        pins = [
            dict(re.findall(r"^([\w.-]+)==(\S+)", (ROOT / name).read_text(), re.M))
            for name in REQUIREMENT_FILES
        ]
        tested, daemon = pins
        self.assertEqual(daemon, {name: tested.get(name) for name in daemon})
