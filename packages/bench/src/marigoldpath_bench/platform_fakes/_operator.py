"""Settings files and configurations as the platform's operator writes them."""

from typing import Any


def configuration(version: int = 1, **route: Any) -> dict[str, Any]:
    """Return an operator's configuration with one queue."""
    fields = {
        "name": "queue",
        "host": "site.example",
        "prefix": "/q/",
        "service": "service",
        "priority": 0,
        "attempts": 3,
        "stretch": 1.5,
        "target-duration-ms": 300,
    }
    fields.update(route)
    return {"version": version, "routes": [fields], "services": [], "limits": {}}


def host_settings(
    name: str, ip: str, ports: tuple[int, int, int], store: str, advice: str
) -> dict[str, Any]:
    """Return the settings of an entry host.

    `ports` are the ports for callers, for readiness checks and for peers.
    """
    callers, readiness, peers = ports
    return {
        "node": name,
        "zone": "split",
        "ip": ip,
        "listen": {
            "ingress": f"{ip}:{callers}",
            "readiness": f"{ip}:{readiness}",
            "control": f"{ip}:{peers}",
        },
        "limits": {"cpu-share": 1.0, "cores": 1},
        "bounds": {"hold-max-ms": 6_000, "status_s": 120},
        "advice": advice,
        "platform": {"address": store, "row-bytes": 65_536},
    }
