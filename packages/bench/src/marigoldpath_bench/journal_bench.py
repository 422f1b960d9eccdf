"""Benchmark of the journal: processor time per entry, group size and added wait."""

import heapq
import itertools
import json
import random
import sys
import time
from collections import deque
from typing import NamedTuple

from marigoldpath_bench.measure import Measure
from marigoldpath_core.journal import Accepted, Entry, Finished, Intent, Journal
from marigoldpath_core.messages import (
    CreateRow,
    Effect,
    Event,
    PutObject,
    ReadRows,
    RowsRead,
    RowWriteReplied,
    WriteRow,
    WriteStatus,
)
from marigoldpath_core.requests import OutcomeKind, Request, RequestKey, Size, task_id
from marigoldpath_core.settings import JournalSettings

ROW_WRITE_MS = 5
LOADED_ENTRIES = 30_000
RUN_MS = 20_000
RATES = (250, 1_000)


class Variant(NamedTuple):
    """Settings that determine how entries are grouped into rows."""

    name: str
    settings: JournalSettings


VARIANTS = (
    Variant("one_entry_a_row", JournalSettings(max_entries=1)),
    Variant("group_commit", JournalSettings()),
)


class SimulationResult(NamedTuple):
    """One run in simulated time: waits in ms, rows and number of unwritten entries."""

    waits: list[int]
    rows: int
    unwritten: int


def request_entries(number: int) -> tuple[Entry, ...]:
    """Return the entries of one request from acceptance to its outcome."""
    key = RequestKey("team", "zadar", f"r{number}")
    request = Request(key, "exchange_order", Size(500, 256, 0, 1, 1), repeatable=False)
    return (
        Accepted(request, number),
        Intent((task_id(key, 1),), "w1"),
        Finished(key, OutcomeKind.DONE, None, number),
    )


def table_reply(effect: Effect, versions: dict[str, int]) -> Event | None:
    """Return the reply of a table without faults, which does not store the rows."""
    if isinstance(effect, ReadRows):
        return RowsRead(effect.prefix, ())
    if isinstance(effect, (CreateRow, WriteRow, PutObject)):
        version = versions[effect.key] = versions.get(effect.key, 0) + 1
        return RowWriteReplied(effect.key, WriteStatus.WRITTEN, version)
    return None


def execute_effects(
    journal: Journal, effects: list[Effect], versions: dict[str, int], now_ms: int
) -> None:
    """Execute effects and, recursively, the effects of their replies without delay."""
    queue = deque(effects)
    while queue:
        event = table_reply(queue.popleft(), versions)
        if event is not None:
            queue += journal.handle(event, now_ms)


def open_journal(settings: JournalSettings, versions: dict[str, int]) -> Journal:
    """Return a journal that is open at 0 ms."""
    journal = Journal(settings, "zadar", "a")
    execute_effects(journal, journal.open(1, 0), versions, 0)
    return journal


def entry_cpu_us(variant: Variant, group: int) -> float:
    """Return the processor time per entry in us, with groups of `group` entries.

    The time includes snapshots and the conversion to JSON values, but not to text.
    """
    versions: dict[str, int] = {}
    journal = open_journal(variant.settings, versions)
    entries = itertools.chain.from_iterable(map(request_entries, itertools.count()))
    batch = list(itertools.islice(entries, LOADED_ENTRIES))
    now_ms = 0
    confirmed = 0
    begin = time.process_time()
    for first in range(0, LOADED_ENTRIES, group):
        for entry in batch[first : first + group]:
            journal.append(entry, now_ms)
        for _ in range(group):
            now_ms += variant.settings.interval_ms
            effects = journal.tick(now_ms)
            if journal.needs_snapshot:
                effects += journal.snapshot(now_ms)
            execute_effects(journal, effects, versions, now_ms)
            confirmed += len(journal.confirmed())
            if journal.wake_ms is None:
                break
    return (time.process_time() - begin) / confirmed * 1e6


def simulate(variant: Variant, rate: int, seed: int) -> SimulationResult:
    """Append at random times for RUN_MS of simulated time, in steps of 1 ms."""
    rng = random.Random(seed)
    versions: dict[str, int] = {}
    journal = open_journal(variant.settings, versions)
    source = itertools.chain.from_iterable(map(request_entries, itertools.count()))
    due = rng.expovariate(rate / 1_000)
    appended: dict[int, int] = {}
    replies: list[tuple[int, int, Event]] = []
    waits: list[int] = []
    rows = 0
    for now_ms in range(RUN_MS):
        effects: list[Effect] = []
        while replies and replies[0][0] <= now_ms:
            effects += journal.handle(heapq.heappop(replies)[2], now_ms)
        while due <= now_ms:
            appended[journal.append(next(source), now_ms)] = now_ms
            due += rng.expovariate(rate / 1_000)
        effects += journal.tick(now_ms)
        if journal.needs_snapshot:
            effects += journal.snapshot(now_ms)
        for effect in effects:
            event = table_reply(effect, versions)
            if event is not None:
                rows += not isinstance(effect, PutObject)
                heapq.heappush(replies, (now_ms + ROW_WRITE_MS, rows, event))
        waits += [
            now_ms - appended.pop(entry_number) for entry_number in journal.confirmed()
        ]
    return SimulationResult(sorted(waits), rows, len(appended))


def cpu_measures(seed: int) -> list[Measure]:
    """Return the processor time per entry for groups of 1, 3 and 10 entries."""
    lines: list[Measure] = []
    for group in (1, 3, 10):
        for variant in VARIANTS:
            value = entry_cpu_us(variant, group)
            name = f"journal, {group} entries at once"
            lines.append(_measure(f"{name}, CPU", variant, value, "us/entry", seed))
            lines.append(
                _measure(f"{name}, rate", variant, 1e6 / value, "entries/s", seed)
            )
    return lines


def wait_measures(seed: int) -> list[Measure]:
    """Return group sizes and waits; the target is one interval plus one write."""
    lines: list[Measure] = []
    for rate in RATES:
        for variant in VARIANTS:
            result = simulate(variant, rate, seed)
            title = f"journal, {rate} entries/s"
            size = len(result.waits) / max(1, result.rows)
            limit = variant.settings.interval_ms + ROW_WRITE_MS
            lines.append(
                _measure(f"{title}, group", variant, size, "entries/row", seed)
            )
            for name, fraction in (("median", 0.5), ("p99", 0.99)):
                value = result.waits[int(fraction * (len(result.waits) - 1))]
                measure = f"{title}, {name} wait"
                lines.append(
                    _measure(measure, variant, value, "ms", seed, target=limit)
                )
            left = f"{title}, unwritten after {RUN_MS // 1_000} s"
            lines.append(_measure(left, variant, result.unwritten, "entries", seed))
    return lines


def measures(seed: int) -> list[Measure]:
    """Run all measurements; the variants alternate."""
    return [*cpu_measures(seed), *wait_measures(seed)]


def _measure(
    measure: str,
    variant: Variant,
    value: float,
    unit: str,
    seed: int,
    *,
    target: float | None = None,
) -> Measure:
    return {
        "measure": measure,
        "variant": variant.name,
        "value": round(value, 2),
        "unit": unit,
        "target": target,
        "met": None if target is None else value <= target,
        "seed": seed,
    }


if __name__ == "__main__":
    for line in measures(int(sys.argv[1]) if len(sys.argv) > 1 else 1):
        print(json.dumps(line), flush=True)
