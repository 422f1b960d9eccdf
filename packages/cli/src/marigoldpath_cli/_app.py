"""Parses the command line, runs one command and prints its result."""

import getpass
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Annotated

import curio
from cyclopts import App, CycloptsError, Parameter

from . import _report, _requests, _settings, _sheet
from ._client import EntryClient
from ._config import ClientConfig, CommandOptions, client_config
from ._errors import CommandError
from ._exit_codes import ExitCode
from ._progress import Progress
from ._render import printable, render
from ._view import View

Config = Annotated[ClientConfig, Parameter(parse=False)]

app = App(name="marigoldpath", help="Operate the marigoldpath scheduler.")
sheet_app = App(name="sheet", help="Check, apply and follow the planners' sheet.")
settings_app = App(name="settings", help="Check settings files of the daemon.")
app.command(sheet_app)
app.command(settings_app)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    tokens = list(sys.argv[1:] if arguments is None else arguments)
    try:
        code = app.meta(
            tokens,
            exit_on_error=False,
            print_error=False,
            result_action="return_value",
        )
        return int(code or ExitCode.OK)
    except CycloptsError as error:
        return _print_error(ExitCode.WRONG_USE, str(error))
    except CommandError as error:
        return _print_error(error.exit_code, str(error))
    except KeyboardInterrupt:
        return _print_error(ExitCode.INTERRUPTED, "interrupted")
    except BrokenPipeError:
        # The reader of the output, such as `head`, closed the pipe; discard the rest.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.OK


@app.meta.default
def launch(
    *tokens: Annotated[str, Parameter(show=False, allow_leading_hyphen=True)],
    entry: Annotated[
        tuple[str, ...],
        Parameter(name=["--entry", "-e"], negative="", help="Entry host, IP:PORT."),
    ] = (),
    key: Annotated[str, Parameter(help="Operator's key; MARIGOLDPATH_KEY.")] = "",
    config: Annotated[str, Parameter(help="JSON file with entry and key.")] = "",
    json: Annotated[bool, Parameter(negative="", help="Print JSON.")] = False,
) -> int:
    """Run a command with the options that are common to all commands."""
    options = CommandOptions(entry, key, config, json)
    command, bound, ignored = app.parse_args(
        tokens, exit_on_error=False, print_error=False
    )
    if "config" in ignored:
        bound.arguments["config"] = client_config(options, os.environ)
    try:
        result = command(*bound.args, **bound.kwargs)
    except _sheet.InvalidSheetError as error:
        result = error.view
    if not isinstance(result, View):
        return ExitCode.OK
    render(result, json, sys.stdout)
    return result.exit_code


@app.command
def status(*, config: Config) -> View:
    """Show leaders, workers and queues."""
    return _with_client(config, _requests.show_status)


@app.command
def requests(*, config: Config) -> View:
    """Show waiting requests and counters of each zone."""
    return _with_client(config, _requests.show_requests)


@app.command
def hosts(*, config: Config) -> View:
    """Show the workers of each zone."""
    return _with_client(config, _requests.show_hosts)


@app.command
def explain(request: str, /, *, config: Config) -> View:
    """Show the history of a request.

    Parameters
    ----------
    request
        TEAM/ZONE/ID.
    """
    return _with_client(
        config, lambda client: _requests.explain_request(client, request)
    )


@app.command
def cancel(request: str, /, *, config: Config) -> View:
    """Cancel a request.

    Parameters
    ----------
    request
        TEAM/ZONE/ID.
    """
    return _with_client(
        config, lambda client: _requests.cancel_request(client, request)
    )


@app.command
def drain(host: str, /, *, config: Config) -> View:
    """Stop an entry host gracefully.

    Parameters
    ----------
    host
        Its name, or its address as given by --entry.
    """
    return _with_client(config, lambda client: _requests.drain_host(client, host))


@app.command
def report(
    *,
    format_name: Annotated[
        str, Parameter(name="--format", help="text or html.")
    ] = "text",
    output: Annotated[str, Parameter(name=["--output", "-o"])] = "",
    config: Config,
) -> View:
    """Show the daily report."""
    return _with_client(
        config, lambda client: _report.show_report(client, format_name, output)
    )


@sheet_app.command(name="check")
def sheet_check(file: str, /) -> View:
    """Check a sheet; needs no entry host."""
    return _sheet.check_sheet(file)


@sheet_app.command(name="diff")
def sheet_diff(file: str, /, *, config: Config) -> View:
    """Show the changes that a sheet would make."""
    return _with_client(config, lambda client: _sheet.diff_sheet(client, file))


@sheet_app.command(name="apply")
def sheet_apply(
    file: str,
    /,
    *,
    base: Annotated[
        int | None, Parameter(help="Version that the sheet was checked against.")
    ] = None,
    author: Annotated[str, Parameter(help="Name in the history.")] = "",
    config: Config,
) -> View:
    """Apply a sheet and wait until it is active in all zones."""
    name = author or _user_name()
    progress = Progress(sys.stderr)
    return _with_client(
        config, lambda client: _sheet.apply_sheet(client, file, base, name, progress)
    )


@sheet_app.command(name="status")
def sheet_status(*, config: Config) -> View:
    """Show the active version in each zone."""
    return _with_client(config, _sheet.show_sheet_status)


@sheet_app.command(name="history")
def sheet_history(*, config: Config) -> View:
    """List the versions, the newest first."""
    return _with_client(config, _sheet.show_history)


@settings_app.command(name="check")
def settings_check(file: str, /) -> View:
    """Check a settings file; needs no entry host."""
    return _settings.check_settings(file)


@settings_app.command(name="schema")
def settings_schema(
    *, markdown: Annotated[bool, Parameter(negative="")] = False
) -> View:
    """Print the JSON Schema of settings files, or the reference page."""
    return _settings.show_schema(markdown)


def _with_client(
    config: ClientConfig, run_command: Callable[[EntryClient], Awaitable[View]]
) -> View:
    async def run() -> View:
        async with EntryClient(config) as client:
            return await run_command(client)

    return curio.run(run)


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        message = "no user name is known: give --author NAME"
        raise CommandError(ExitCode.WRONG_USE, message) from None


def _print_error(code: ExitCode, message: str) -> int:
    print(f"marigoldpath: {printable(message)}", file=sys.stderr)
    return code
