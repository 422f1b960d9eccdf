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

from ._client import EntryClient, objects, whole_number
from ._errors import AnswerLostError, CommandError, RefusedError
from ._exit_codes import ExitCode
from ._files import read_file
from ._progress import Progress
from ._view import Block, Fields, Lines, Table, View, table_of
from ._zones import ZoneState, ZoneVersion, zone_versions, zones_line, zones_table

# A version that is accepted is in force everywhere within this time.
IN_FORCE_S = 5.0
POLL_S = 0.2
MAX_CHANGES = 20


class FaultySheetError(CommandError):
    """The sheet has faults."""

    def __init__(self, name: str, faults: list[SheetProblem]) -> None:
        super().__init__(ExitCode.FAULTS, f"{name} has {len(faults)} faults")
        self.view = _faults_view(name, faults)


def check_sheet(name: str) -> View:
    """Return what a sheet holds, or all its faults."""
    sheet = _parsed(name)[0]
    counts = {
        "kinds": len(sheet.kinds),
        "teams": len(sheet.teams),
        "descriptions": len(sheet.workloads),
    }
    payload = {"file": name, "faults": [], **counts}
    return View(payload, (Lines((f"{name} is right",)), Fields("", counts)))


async def diff_sheet(client: EntryClient, name: str) -> View:
    """Return what a sheet would change."""
    sheet = _parsed(name)[0]
    version, current = await _in_force(client)
    changes = diff(current, to_configuration(sheet, version + 1))
    payload = {"base_version": version, "changes": [_change(c) for c in changes]}
    return View(payload, (_changes_table(changes, version),))


async def apply_sheet(
    client: EntryClient, name: str, base: int | None, author: str, progress: Progress
) -> View:
    """Apply a sheet on a base version and wait until all zones have it."""
    text = _parsed(name)[1]
    if base is None:
        base = (await _in_force(client))[0]
    body = {"base_version": base, "author": author, "text": text}
    try:
        answer = await client.call("PUT", "/v1/config", body, repeatable=False)
    except AnswerLostError as fault:
        answer = await _find_out(client, body, fault)
    except RefusedError as fault:
        return _refusal_view(name, fault)
    version = whole_number(answer, "version", base + 1)
    zones = await _wait_for_zones(client, version, progress)
    open_zones = [zone for zone in zones if zone.state is not ZoneState.IN_FORCE]
    payload = {**answer, "zones": [zone._asdict() for zone in zones]}
    lines = Lines((f"version {version} is accepted", zones_line(zones, version)))
    code = ExitCode.PARTIAL if open_zones or not zones else ExitCode.OK
    return View(payload, (lines, zones_table(zones, version)), code)


async def show_sheet_status(client: EntryClient) -> View:
    """Return the version in force and the zones that have it."""
    payload = await client.call("GET", "/v1/config?zones=1")
    version = whole_number(payload, "version", 0)
    zones = zone_versions(payload, version)
    names = ("version", "author", "applied_at", "host", "availability_zone")
    fields = Fields("", {n: payload[n] for n in names if n in payload})
    done = zones and all(zone.state is ZoneState.IN_FORCE for zone in zones)
    code = ExitCode.OK if done else ExitCode.PARTIAL
    shown = {key: value for key, value in payload.items() if key != "text"}
    return View(shown, (fields, zones_table(zones, version)), code)


async def show_history(client: EntryClient) -> View:
    """Return the versions, the newest first."""
    payload = await client.call("GET", "/v1/config/history")
    table = table_of("versions", objects(payload, "versions"))
    return View(payload, (table,))


def _parsed(name: str) -> tuple[Sheet, str]:
    data = read_file(name)
    parsed = parse_sheet(data)
    if parsed.is_err():
        raise FaultySheetError(name, parsed.unwrap_err())
    return parsed.unwrap(), data.decode("utf-8-sig")


async def _in_force(client: EntryClient) -> tuple[int, Configuration]:
    payload = await client.call("GET", "/v1/config")
    version = whole_number(payload, "version", 0)
    if version == 0:
        return 0, Configuration()
    read = read_configuration(str(payload.get("text", "")), version)
    if read.is_err():
        message = f"version {version} in force cannot be read by this program"
        raise CommandError(ExitCode.FAILED, message)
    return version, read.unwrap()


async def _find_out(
    client: EntryClient, body: dict[str, Any], fault: AnswerLostError
) -> dict[str, Any]:
    """Look for the applied version after the answer to the apply was lost."""
    wanted = body["base_version"] + 1
    for _ in range(int(IN_FORCE_S / POLL_S)):
        try:
            held = await client.call("GET", "/v1/config")
        except CommandError:
            held = {}
        if held.get("version") == wanted:
            mine = all(held.get(name) == body[name] for name in ("author", "text"))
            if mine:
                return {"version": wanted, "author": body["author"]}
            author = held.get("author", "")
            message = f"version {wanted} by {author} came first; nothing was changed"
            raise CommandError(ExitCode.CONFLICT, message)
        await curio.sleep(POLL_S)
    raise CommandError(
        ExitCode.UNKNOWN, f"{fault}; look at 'sheet status' before you apply again"
    )


async def _wait_for_zones(
    client: EntryClient, version: int, progress: Progress
) -> list[ZoneVersion]:
    zones: list[ZoneVersion] = []
    with progress:
        async with curio.ignore_after(IN_FORCE_S):
            while True:
                zones = await _zones(client, version, zones)
                progress.show(zones_line(zones, version))
                if zones and all(z.state is ZoneState.IN_FORCE for z in zones):
                    break
                await curio.sleep(POLL_S)
    return zones


async def _zones(
    client: EntryClient, version: int, before: list[ZoneVersion]
) -> list[ZoneVersion]:
    """Return the zones, or those of `before` as cut off without any answer.

    The sheet is accepted by now, so that an unreachable entry host is no failure.
    """
    try:
        payload = await client.call("GET", "/v1/config?zones=1")
    except CommandError:
        return [zone._replace(state=ZoneState.CUT_OFF) for zone in before]
    return zone_versions(payload, version)


def _refusal_view(name: str, fault: RefusedError) -> View:
    blocks: list[Block] = [Lines((str(fault),))]
    changes = fault.payload.get("changes")
    if isinstance(changes, list) and changes:
        shown = [str(change) for change in changes[:MAX_CHANGES]]
        if len(changes) > MAX_CHANGES:
            shown.append(f"and {len(changes) - MAX_CHANGES} more; see 'sheet diff'")
        blocks.append(Lines(("the other operator changed:", *shown)))
    faults = objects(fault.payload, "faults")
    if faults:
        blocks.append(table_of(name, faults))
    return View(fault.payload, tuple(blocks), fault.exit_code)


def _faults_view(name: str, faults: list[SheetProblem]) -> View:
    rows = tuple(
        (fault.row or "file", fault.column, fault.value, fault.expected)
        for fault in faults
    )
    columns = ("row", "column", "found", "what would be right")
    table = Table(f"{name}: {len(faults)} to correct", columns, rows)
    payload = {"file": name, "faults": [fault._asdict() for fault in faults]}
    return View(payload, (table,), ExitCode.FAULTS)


def _changes_table(changes: list[Change], version: int) -> Block:
    if not changes:
        return Lines((f"no change against version {version}",))
    rows = tuple(
        (c.sort, c.subject, c.name, c.field, c.before, c.after) for c in changes
    )
    columns = ("change", "subject", "name", "field", "before", "after")
    return Table(f"changes against version {version}", columns, rows)


def _change(change: Change) -> dict[str, str]:
    return {name: str(value) for name, value in change._asdict().items()}
