"""Commands on the planners' sheet."""

from typing import Any

import curio

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.sheet import (
    Change,
    Sheet,
    SheetProblem,
    diff,
    parse_sheet,
    read_configuration,
    to_configuration,
)

from ._client import EntryClient, integer_field, object_list
from ._errors import CommandError, OutcomeUnknownError, RefusedError
from ._exit_codes import ExitCode
from ._files import read_file
from ._progress import Progress
from ._view import Block, Fields, Lines, Table, View, table_of
from ._zones import ZoneState, ZoneVersion, zone_versions, zones_line, zones_table

# An accepted version becomes active in all reachable zones within this time.
ACTIVATION_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.2
MAX_SHOWN_CHANGES = 20


class InvalidSheetError(CommandError):
    """The sheet has problems; `view` lists them."""

    def __init__(self, name: str, problems: list[SheetProblem]) -> None:
        super().__init__(ExitCode.FAULTS, f"{name} has {len(problems)} faults")
        self.view = _problems_view(name, problems)


def check_sheet(name: str) -> View:
    """Return the counts of kinds, teams and workloads; raises InvalidSheetError."""
    sheet = _read_sheet(name)[0]
    counts = {
        "kinds": len(sheet.kinds),
        "teams": len(sheet.teams),
        "descriptions": len(sheet.workloads),
    }
    payload = {"file": name, "faults": [], **counts}
    return View(payload, (Lines((f"{name} is right",)), Fields("", counts)))


async def diff_sheet(client: EntryClient, name: str) -> View:
    """Return the changes that a sheet would make to the active version."""
    sheet = _read_sheet(name)[0]
    version, current = await _active_version(client)
    changes = diff(current, to_configuration(sheet, version + 1))
    payload = {"base_version": version, "changes": [_change_dict(c) for c in changes]}
    return View(payload, (_changes_table(changes, version),))


async def apply_sheet(
    client: EntryClient, name: str, base: int | None, author: str, progress: Progress
) -> View:
    """Apply a sheet to a base version and wait until it is active in all zones."""
    text = _read_sheet(name)[1]
    if base is None:
        base = (await _active_version(client))[0]
    body = {"base_version": base, "author": author, "text": text}
    try:
        reply = await client.call("PUT", "/v1/config", body, repeatable=False)
    except OutcomeUnknownError as error:
        reply = await _resolve_lost_reply(client, body, error)
    except RefusedError as error:
        return _refusal_view(name, error)
    version = integer_field(reply, "version", base + 1)
    zones = await _wait_for_zones(client, version, progress)
    pending_zones = [zone for zone in zones if zone.state is not ZoneState.ACTIVE]
    payload = {**reply, "zones": [zone._asdict() for zone in zones]}
    lines = Lines((f"version {version} is accepted", zones_line(zones, version)))
    code = ExitCode.PARTIAL if pending_zones or not zones else ExitCode.OK
    return View(payload, (lines, zones_table(zones, version)), code)


async def show_sheet_status(client: EntryClient) -> View:
    """Return the active version and its state in each zone."""
    payload = await client.call("GET", "/v1/config?zones=1")
    version = integer_field(payload, "version", 0)
    zones = zone_versions(payload, version)
    names = ("version", "author", "applied_at", "host", "availability_zone")
    fields = Fields("", {n: payload[n] for n in names if n in payload})
    is_complete = zones and all(zone.state is ZoneState.ACTIVE for zone in zones)
    code = ExitCode.OK if is_complete else ExitCode.PARTIAL
    shown = {key: value for key, value in payload.items() if key != "text"}
    return View(shown, (fields, zones_table(zones, version)), code)


async def show_history(client: EntryClient) -> View:
    """Return the versions, the newest first."""
    payload = await client.call("GET", "/v1/config/history")
    table = table_of("versions", object_list(payload, "versions"))
    return View(payload, (table,))


def _read_sheet(name: str) -> tuple[Sheet, str]:
    data = read_file(name)
    parsed = parse_sheet(data)
    if parsed.is_err():
        raise InvalidSheetError(name, parsed.unwrap_err())
    return parsed.unwrap(), data.decode("utf-8-sig")


async def _active_version(client: EntryClient) -> tuple[int, Configuration]:
    payload = await client.call("GET", "/v1/config")
    version = integer_field(payload, "version", 0)
    if version == 0:
        return 0, Configuration()
    read = read_configuration(str(payload.get("text", "")), version)
    if read.is_err():
        message = f"version {version} in force cannot be read by this program"
        raise CommandError(ExitCode.FAILED, message)
    return version, read.unwrap()


async def _resolve_lost_reply(
    client: EntryClient, body: dict[str, Any], error: OutcomeUnknownError
) -> dict[str, Any]:
    """Read the active version to see whether an apply took effect without a reply."""
    expected = body["base_version"] + 1
    for _ in range(int(ACTIVATION_TIMEOUT_S / POLL_INTERVAL_S)):
        try:
            current = await client.call("GET", "/v1/config")
        except CommandError:
            current = {}
        if current.get("version") == expected:
            is_ours = all(
                current.get(name) == body[name] for name in ("author", "text")
            )
            if is_ours:
                return {"version": expected, "author": body["author"]}
            author = current.get("author", "")
            message = f"version {expected} by {author} came first; nothing was changed"
            raise CommandError(ExitCode.CONFLICT, message)
        await curio.sleep(POLL_INTERVAL_S)
    raise CommandError(
        ExitCode.UNKNOWN, f"{error}; look at 'sheet status' before you apply again"
    )


async def _wait_for_zones(
    client: EntryClient, version: int, progress: Progress
) -> list[ZoneVersion]:
    zones: list[ZoneVersion] = []
    with progress:
        async with curio.ignore_after(ACTIVATION_TIMEOUT_S):
            while True:
                zones = await _poll_zones(client, version, zones)
                progress.show(zones_line(zones, version))
                if zones and all(z.state is ZoneState.ACTIVE for z in zones):
                    break
                await curio.sleep(POLL_INTERVAL_S)
    return zones


async def _poll_zones(
    client: EntryClient, version: int, previous: list[ZoneVersion]
) -> list[ZoneVersion]:
    """Return the state of the zones; without a reply, `previous` as unreachable.

    The sheet is already accepted, so an unreachable entry host is not an error.
    """
    try:
        payload = await client.call("GET", "/v1/config?zones=1")
    except CommandError:
        return [zone._replace(state=ZoneState.UNREACHABLE) for zone in previous]
    return zone_versions(payload, version)


def _refusal_view(name: str, error: RefusedError) -> View:
    blocks: list[Block] = [Lines((str(error),))]
    changes = error.payload.get("changes")
    if isinstance(changes, list) and changes:
        shown = [str(change) for change in changes[:MAX_SHOWN_CHANGES]]
        if len(changes) > MAX_SHOWN_CHANGES:
            shown.append(
                f"and {len(changes) - MAX_SHOWN_CHANGES} more; see 'sheet diff'"
            )
        blocks.append(Lines(("the other operator changed:", *shown)))
    problems = object_list(error.payload, "faults")
    if problems:
        blocks.append(table_of(name, problems))
    return View(error.payload, tuple(blocks), error.exit_code)


def _problems_view(name: str, problems: list[SheetProblem]) -> View:
    rows = tuple(
        (problem.row or "file", problem.column, problem.value, problem.expected)
        for problem in problems
    )
    columns = ("row", "column", "found", "what would be right")
    table = Table(f"{name}: {len(problems)} to correct", columns, rows)
    payload = {"file": name, "faults": [problem._asdict() for problem in problems]}
    return View(payload, (table,), ExitCode.FAULTS)


def _changes_table(changes: list[Change], version: int) -> Block:
    if not changes:
        return Lines((f"no change against version {version}",))
    rows = tuple(
        (c.sort, c.subject, c.name, c.field, c.before, c.after) for c in changes
    )
    columns = ("change", "subject", "name", "field", "before", "after")
    return Table(f"changes against version {version}", columns, rows)


def _change_dict(change: Change) -> dict[str, str]:
    return {name: str(value) for name, value in change._asdict().items()}
