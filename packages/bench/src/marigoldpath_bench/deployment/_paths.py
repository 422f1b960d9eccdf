"""Where the repository keeps its deployments."""

from pathlib import Path

ROOT = Path(__file__).resolve().parents[5]
DEPLOY = ROOT / "deploy"


def find_deployment(name: str) -> Path:
    """Return the folder of a deployment; raises FileNotFoundError when it is none."""
    folder = DEPLOY / name
    if not (folder / "deployment.json").is_file():
        known = ", ".join(sorted(path.parent.name for path in DEPLOY.glob("*/*.json")))
        raise FileNotFoundError(f"no deployment {name!r}; known: {known}")
    return folder
