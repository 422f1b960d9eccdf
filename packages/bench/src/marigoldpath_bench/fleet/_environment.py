"""Environment variables for the operators' program and curl to access a fleet."""

from marigoldpath_bench.deployment import RunPlan


def environment_lines(plan: RunPlan) -> list[str]:
    """Return shell lines that export the entry hosts and all callers' keys.

    The operator's key is exported as MARIGOLDPATH_KEY, a team's key as KEY_<TEAM>.
    """
    addresses = [daemon.address for daemon in plan.daemons]
    lines = [
        f"export MARIGOLDPATH_ENTRY={','.join(addresses)}",
        f"export ENTRY={addresses[0]}",
    ]
    for key in plan.deployment.keys:
        name = f"KEY_{key.team.upper()}" if key.team else "MARIGOLDPATH_KEY"
        lines.append(f"export {name.replace('-', '_')}={key.key}")
    return lines
