"""Authenticates and authorizes requests by their access key."""

import hmac

from marigoldpath_core.settings import AccessKey, DaemonSettings

from ._registry import Access

BEARER_PREFIX = "bearer "


class AccessError(Exception):
    """The request is not authorized for the route; `status` is 401 or 403."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def check_access(
    settings: DaemonSettings, access: Access, headers: dict[str, str]
) -> str:
    """Return the only team that the request may act for, empty for any team.

    Raises AccessError. If the settings have no keys, every request is authorized.
    """
    if access == Access.ANYONE or not settings.keys:
        return ""
    key = _find_key(settings, headers.get("authorization", ""))
    if key is None:
        raise AccessError(
            401, "the header 'authorization: Bearer KEY' has no valid key"
        )
    if key.role == "operator":
        return ""
    if access == Access.OPERATOR:
        raise AccessError(403, "this route needs an operator's key")
    return key.team


def _find_key(settings: DaemonSettings, header: str) -> AccessKey | None:
    if not header.lower().startswith(BEARER_PREFIX):
        return None
    presented_key = header[len(BEARER_PREFIX) :].strip().encode("latin-1", "replace")
    found = None
    for key in settings.keys:
        # Compare with every key in constant time, so that the response time does not
        # reveal a partial match.
        if hmac.compare_digest(key.key.encode(), presented_key):
            found = key
    return found
