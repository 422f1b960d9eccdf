"""Consistency checks of settings that depend on each other."""

from collections import Counter
from collections.abc import Callable, Iterator

from marigoldpath_core.registry import Registry

from ._model import DaemonSettings
from ._options import SettingsProblem

Check = Callable[[DaemonSettings], Iterator[SettingsProblem]]
settings_checks: Registry[str, Check] = Registry("settings check")


def check_consistency(settings: DaemonSettings) -> list[SettingsProblem]:
    """Return the problems between settings that are each valid on their own."""
    problems: list[SettingsProblem] = []
    for name in settings_checks:
        problems.extend(settings_checks.get(name)(settings))
    return problems


@settings_checks.register("zones")
def _check_zones(settings: DaemonSettings) -> Iterator[SettingsProblem]:
    if settings.availability_zone not in settings.availability_zones:
        yield SettingsProblem(
            "availability_zone",
            f'"{settings.availability_zone}"',
            f"must be one of availability_zones "
            f"({', '.join(settings.availability_zones)})",
        )


@settings_checks.register("leases")
def _check_leases(settings: DaemonSettings) -> Iterator[SettingsProblem]:
    leadership = settings.leadership
    for name in ("row_lease_ms", "claim_lease_ms", "task_lease_ms"):
        lease = getattr(leadership, name)
        # After one lost renewal, a lease must last until the next renewal.
        if lease < 2 * leadership.beat_ms:
            yield SettingsProblem(
                f"leadership.{name}",
                str(lease),
                f"must be at least twice beat_ms ({leadership.beat_ms})",
            )


@settings_checks.register("journal")
def _check_journal(settings: DaemonSettings) -> Iterator[SettingsProblem]:
    journal = settings.journal
    if journal.snapshot_after > journal.slots // 2:
        yield SettingsProblem(
            "journal.snapshot_after",
            str(journal.snapshot_after),
            f"must be at most half of slots ({journal.slots}), so that a snapshot "
            "covers a slot before it is overwritten",
        )
    if settings.scheduler.finished_retention_ms > journal.retention_ms:
        yield SettingsProblem(
            "scheduler.finished_retention_ms",
            str(settings.scheduler.finished_retention_ms),
            f"must be at most journal.retention_ms ({journal.retention_ms}), so that "
            "a new leader knows every answer that the last one knew",
        )


@settings_checks.register("kinds")
def _check_kinds(settings: DaemonSettings) -> Iterator[SettingsProblem]:
    yield from _find_duplicates("kinds", "name", [kind.name for kind in settings.kinds])
    for index, kind in enumerate(settings.kinds):
        if kind.floor > kind.ceiling:
            yield SettingsProblem(
                f"kinds[{index}].floor",
                str(kind.floor),
                f"must be at most its ceiling ({kind.ceiling})",
            )
    floors = sum(kind.floor for kind in settings.kinds)
    if floors > 1 + 1e-9:
        yield SettingsProblem(
            "kinds", f"floors add up to {floors:g}", "must add up to at most 1"
        )


@settings_checks.register("policies")
def _check_policies(settings: DaemonSettings) -> Iterator[SettingsProblem]:
    # An import at the top of this module would be circular, because admission imports
    # the settings.
    from marigoldpath_core.admission import queue_policies
    from marigoldpath_core.placement import placement_policies

    policy = settings.scheduler.queue_policy
    if policy not in queue_policies:
        expected = f"must be one of {', '.join(queue_policies)}"
        yield SettingsProblem("scheduler.queue_policy", f'"{policy}"', expected)
    for index, kind in enumerate(settings.kinds):
        if kind.placement not in placement_policies:
            expected = f"must be one of {', '.join(placement_policies)}"
            yield SettingsProblem(
                f"kinds[{index}].placement", f'"{kind.placement}"', expected
            )


@settings_checks.register("keys")
def _check_keys(settings: DaemonSettings) -> Iterator[SettingsProblem]:
    for problem in _find_duplicates("keys", "key", [key.key for key in settings.keys]):
        yield problem._replace(value="(hidden)")
    for index, key in enumerate(settings.keys):
        if key.role == "caller" and not key.team:
            yield SettingsProblem(
                f"keys[{index}].team", '""', "must name the team of a caller"
            )
        if key.role == "operator" and key.team:
            yield SettingsProblem(
                f"keys[{index}].team", f'"{key.team}"', "must be empty for an operator"
            )


def _find_duplicates(
    path: str, field: str, values: list[str]
) -> Iterator[SettingsProblem]:
    counts = Counter(values)
    for index, value in enumerate(values):
        if counts[value] > 1 and value in values[:index]:
            yield SettingsProblem(
                f"{path}[{index}].{field}",
                f'"{value}"',
                f"must differ from that of {path}[{values.index(value)}]",
            )
