"""Who sends a request, by its key."""

import hmac

from marigoldpath_core.settings import AccessKey, DaemonSettings

from ._registry import Access

SCHEME = "bearer "


class AccessError(Exception):
    """The request may not use the route; `status` is 401 or 403."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def check_access(
    settings: DaemonSettings, access: Access, headers: dict[str, str]
) -> str:
    """Return the team that the request is bound to, empty for any team.

    Raises AccessError. Without keys in the settings every request is let in.
    """
    if access == Access.ANYONE or not settings.keys:
        return ""
    key = _find(settings, headers.get("authorization", ""))
    if key is None:
        raise AccessError(
            401, "the header 'authorization: Bearer KEY' has no valid key"
        )
    if key.role == "operator":
        return ""
    if access == Access.OPERATOR:
        raise AccessError(403, "this route needs an operator's key")
    return key.team


def _find(settings: DaemonSettings, header: str) -> AccessKey | None:
    if not header.lower().startswith(SCHEME):
        return None
    given = header[len(SCHEME) :].strip().encode("latin-1", "replace")
    found = None
    for key in settings.keys:
        # All keys are compared, so that the time does not tell which one came close.
        if hmac.compare_digest(key.key.encode(), given):
            found = key
    return found
