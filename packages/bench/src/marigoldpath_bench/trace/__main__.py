"""Write a trace: `python -m marigoldpath_bench.trace --deployment skala --seed 1`."""

from pathlib import Path

from cyclopts import App

from marigoldpath_bench.deployment import find_deployment, load_deployment

from ._files import write_trace
from ._generate import TraceSettings, generate_trace

app = App(name="trace", help="Write a trace of a deployment's mixed work.")


@app.default
def main(
    *,
    deployment: str,
    seed: int = 1,
    seconds: float = 10.0,
    rate: float = 100.0,
    output: Path | None = None,
) -> None:
    """Write the trace to `output` or to the deployment's own trace file."""
    folder = find_deployment(deployment)
    plan = load_deployment(folder / "deployment.json")
    items = generate_trace(plan, TraceSettings(seed, seconds, rate))
    write_trace(output or folder / "trace.jsonl", items)


if __name__ == "__main__":
    app()
