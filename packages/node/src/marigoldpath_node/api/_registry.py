"""The registry of routes."""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.registry import Registry

from ..http import HttpRequest, HttpResponse
from ._context import ApiContext


class Access(StrEnum):
    """Who may use a route."""

    ANYONE = "anyone"
    CALLER = "caller"
    OPERATOR = "operator"


class RouteCall(NamedTuple):
    """A request, the values in its path and the team of its key.

    `team` is empty for operators and where no keys are configured.
    """

    request: HttpRequest
    values: dict[str, str]
    team: str


Handler = Callable[[ApiContext, RouteCall], Awaitable[HttpResponse]]


class Route:
    """A handler and who may use it."""

    def __init__(self, handler: Handler, access: Access) -> None:
        self.access = access
        self._handler = handler

    async def __call__(self, context: ApiContext, call: RouteCall) -> HttpResponse:
        """Answer a request."""
        return await self._handler(context, call)


ROUTES: Registry[tuple[str, str], Route] = Registry("route")


def route(
    method: str, pattern: str, access: Access = Access.CALLER
) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler.

    A segment `<name>` of the pattern takes any text without a slash.
    """

    def decorate(handler: Handler) -> Handler:
        ROUTES.register((method, pattern))(Route(handler, access))
        return handler

    return decorate


class Match(NamedTuple):
    """A route for a path; `route` is None where the path has other methods."""

    route: Route | None
    values: dict[str, str]


def find_route(method: str, path: str) -> Match | None:
    """Return the route for a request, or None for an unknown path."""
    if (method, path) in ROUTES:
        return Match(ROUTES.get((method, path)), {})
    found = None
    for registered, pattern in ROUTES:
        values = _values(pattern, path)
        if values is None:
            continue
        if registered == method:
            return Match(ROUTES.get((registered, pattern)), values)
        found = Match(None, values)
    return found


def _values(pattern: str, path: str) -> dict[str, Any] | None:
    names, texts = pattern.split("/"), path.split("/")
    if len(names) != len(texts):
        return None
    values = {}
    for name, text in zip(names, texts):
        if name.startswith("<"):
            values[name[1:-1]] = text
        elif name != text:
            return None
    return values
