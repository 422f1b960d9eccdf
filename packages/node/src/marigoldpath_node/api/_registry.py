"""The registry of routes."""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.registry import Registry

from ..http import HttpRequest, HttpResponse
from ._context import ApiContext


class Access(StrEnum):
    """The role that a route requires."""

    ANYONE = "anyone"
    CALLER = "caller"
    OPERATOR = "operator"


class RouteCall(NamedTuple):
    """A request, the values of its path parameters and the team of its key.

    `team` is empty for operators and where no keys are configured.
    """

    request: HttpRequest
    values: dict[str, str]
    team: str


Handler = Callable[[ApiContext, RouteCall], Awaitable[HttpResponse]]


class Route:
    """A handler and the access that it requires."""

    def __init__(self, handler: Handler, access: Access) -> None:
        self.access = access
        self._handler = handler

    async def __call__(self, context: ApiContext, call: RouteCall) -> HttpResponse:
        """Handle a request."""
        return await self._handler(context, call)


ROUTES: Registry[tuple[str, str], Route] = Registry("route")


def route(
    method: str, pattern: str, access: Access = Access.CALLER
) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler.

    A segment `<name>` of the pattern matches any text without a slash.
    """

    def decorate(handler: Handler) -> Handler:
        ROUTES.register((method, pattern))(Route(handler, access))
        return handler

    return decorate


class Match(NamedTuple):
    """The route of a path; `route` is None if the path has only other methods."""

    route: Route | None
    values: dict[str, str]


def find_route(method: str, path: str) -> Match | None:
    """Return the route for a request, or None for an unknown path."""
    if (method, path) in ROUTES:
        return Match(ROUTES.get((method, path)), {})
    path_match = None
    for route_method, pattern in ROUTES:
        values = _match_path(pattern, path)
        if values is None:
            continue
        if route_method == method:
            return Match(ROUTES.get((route_method, pattern)), values)
        path_match = Match(None, values)
    return path_match


def _match_path(pattern: str, path: str) -> dict[str, Any] | None:
    pattern_segments, path_segments = pattern.split("/"), path.split("/")
    if len(pattern_segments) != len(path_segments):
        return None
    values = {}
    for name, segment in zip(pattern_segments, path_segments):
        if name.startswith("<"):
            values[name[1:-1]] = segment
        elif name != segment:
            return None
    return values
