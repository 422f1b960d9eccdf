"""Reads the configuration's version history from the platform."""

from marigoldpath_core.configuration import VersionRecord, decode_record

from ..platform import PlatformClient, PlatformError

# There are up to 2,000 changes per day; an operator reads the latest ones.
MAX_VERSIONS = 50


async def read_history(
    platform: PlatformClient, record: VersionRecord | None
) -> tuple[list[VersionRecord], str]:
    """Return the latest versions, newest first, and why older ones are missing.

    The reason is empty if the list reaches the first version or `record` is None.
    """
    found: list[VersionRecord] = []
    while record is not None:
        found.append(record)
        if not record.previous:
            break
        if len(found) == MAX_VERSIONS:
            return found, f"the {MAX_VERSIONS} latest versions are listed"
        try:
            value = await platform.read_object(record.previous)
        except PlatformError as error:
            return found, f"older versions cannot be read: {error}"
        before = record
        record = decode_record(value).unwrap_or(None)
        if record is None or record.version >= before.version:
            return found, f"the object {before.previous} is missing or damaged"
    return found, ""
