"""The environment in which the operators' program and curl reach a fleet."""

from marigoldpath_bench.deployment import RunPlan


def environment_lines(plan: RunPlan) -> list[str]:
    """Return lines for a shell: entry hosts, the operator's key and those of teams."""
    addresses = [daemon.address for daemon in plan.daemons]
    lines = [
        f"export MARIGOLDPATH_ENTRY={','.join(addresses)}",
        f"export ENTRY={addresses[0]}",
    ]
    for key in plan.deployment.keys:
        name = f"KEY_{key.team.upper()}" if key.team else "MARIGOLDPATH_KEY"
        lines.append(f"export {name.replace('-', '_')}={key.key}")
    return lines
