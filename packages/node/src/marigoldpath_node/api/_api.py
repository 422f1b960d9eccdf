"""Dispatches requests to the handlers of the registered routes."""

from ..http import HttpRequest, HttpResponse
from ._access import AccessError, check_access
from ._context import ApiContext
from ._registry import RouteCall, find_route
from ._replies import error_reply


class Api:
    """Handles the requests of the daemon's HTTP server."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        try:
            path = request.path
            match = find_route(request.method, path)
        except ValueError as error:
            return error_reply(400, "bad_target", str(error))
        if match is None:
            return error_reply(404, "no_route", f"there is no route {path[:200]!r}")
        if match.route is None:
            return error_reply(
                405, "bad_method", f"{path[:200]!r} does not take {request.method}"
            )
        try:
            team = check_access(
                self._context.settings, match.route.access, request.headers
            )
        except AccessError as error:
            return error_reply(error.status, "no_access", str(error))
        try:
            return await match.route(
                self._context, RouteCall(request, match.values, team)
            )
        except Exception:
            # The handler may have submitted the request before the unexpected error, so
            # the outcome is unknown.
            self._context.telemetry.metrics.count("api.errors")
            self._context.telemetry.log.error(
                "handler_failed", path=path[:200], exc_info=True
            )
            return error_reply(500, "internal", "the handler failed", outcome="unknown")
