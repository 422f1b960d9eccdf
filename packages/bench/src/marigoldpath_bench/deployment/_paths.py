"""Paths of the repository and of its deployments."""

from pathlib import Path

REPOSITORY_ROOT = Path(__file__).resolve().parents[5]
DEPLOYMENTS_FOLDER = REPOSITORY_ROOT / "deploy"


def find_deployment(name: str) -> Path:
    """Return the folder of a deployment; raise FileNotFoundError if unknown."""
    folder = DEPLOYMENTS_FOLDER / name
    if not (folder / "deployment.json").is_file():
        known = ", ".join(
            sorted(path.parent.name for path in DEPLOYMENTS_FOLDER.glob("*/*.json"))
        )
        raise FileNotFoundError(f"no deployment {name!r}; known: {known}")
    return folder
