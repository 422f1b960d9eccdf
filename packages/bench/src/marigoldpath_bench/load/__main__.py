"""Send a trace: `python -m marigoldpath_bench.load --deployment skala ADDRESS...`."""

import json
from pathlib import Path

import curio
from cyclopts import App

from marigoldpath_bench.deployment import find_deployment, load_deployment
from marigoldpath_bench.trace import read_trace

from ._call import CallResult
from ._client import LoadClient, load_settings
from ._tally import tally_by_kind

app = App(name="load", help="Send a trace to running entry hosts.")


@app.default
def main(*addresses: str, deployment: str, trace: Path | None = None) -> None:
    """Send the trace and print one JSON line for each kind of work."""
    folder = find_deployment(deployment)
    plan = load_deployment(folder / "deployment.json")
    items = read_trace(trace or folder / "trace.jsonl")

    async def run() -> list[CallResult]:
        client = LoadClient(load_settings(plan, list(addresses)))
        results = await client.run(items)
        await client.close()
        return results

    for tally in tally_by_kind(curio.run(run)):
        print(json.dumps(tally.encode()))


if __name__ == "__main__":
    app()
