"""Handlers of effects on the platform."""

from marigoldpath_core.messages import (
    CreateRow,
    ObjectRead,
    PutObject,
    ReadObject,
    ReadRow,
    ReadRows,
    RowRead,
    RowReadFailed,
    RowsRead,
    RowsReadFailed,
    RowWriteReplied,
    WriteRow,
)

from ..platform import PlatformError
from ._context import EffectContext
from ._registry import handles

# More concurrent reads would only queue at the platform's table.
MAX_CONCURRENT_READS = 64


@handles(ReadRow, limit=MAX_CONCURRENT_READS)
async def read_row(context: EffectContext, effect: ReadRow) -> None:
    """Read a row and feed back the result."""
    try:
        row = await context.platform.read_row(effect.key)
    except PlatformError as error:
        context.telemetry.metrics.count("platform.read_failed")
        context.telemetry.log.debug("row_not_read", key=effect.key, reason=str(error))
        await context.feed(RowReadFailed(effect.key))
        return
    await context.feed(RowRead(effect.key, row))


@handles(ReadRows)
async def read_rows(context: EffectContext, effect: ReadRows) -> None:
    """Read the rows whose keys start with a prefix and feed back the result."""
    try:
        rows = await context.platform.read_rows(effect.prefix)
    except PlatformError as error:
        context.telemetry.metrics.count("platform.read_failed")
        context.telemetry.log.info(
            "rows_not_read", prefix=effect.prefix, reason=str(error)
        )
        await context.feed(RowsReadFailed(effect.prefix))
        return
    await context.feed(RowsRead(effect.prefix, rows))


@handles(WriteRow, limit=2, target=lambda effect: effect.key)
async def write_row(context: EffectContext, effect: WriteRow) -> None:
    """Replace a row and feed back the result."""
    reply = await context.platform.write_row(effect.key, effect.value, effect.version)
    context.telemetry.metrics.count(f"platform.write_{reply.status}")
    await context.feed(RowWriteReplied(effect.key, reply.status, reply.version))


@handles(CreateRow, limit=2, target=lambda effect: effect.key)
async def create_row(context: EffectContext, effect: CreateRow) -> None:
    """Create a row and feed back the result."""
    reply = await context.platform.create_row(effect.key, effect.value)
    context.telemetry.metrics.count(f"platform.write_{reply.status}")
    await context.feed(RowWriteReplied(effect.key, reply.status, reply.version))


@handles(ReadObject, limit=8)
async def read_object(context: EffectContext, effect: ReadObject) -> None:
    """Read an object and feed back the result."""
    try:
        value = await context.platform.read_object(effect.key)
    except PlatformError as error:
        context.telemetry.log.info("object_not_read", key=effect.key, reason=str(error))
        await context.feed(ObjectRead(effect.key, None, failed=True))
        return
    await context.feed(ObjectRead(effect.key, value))


@handles(PutObject, limit=8)
async def put_object(context: EffectContext, effect: PutObject) -> None:
    """Write an object and feed back the result."""
    reply = await context.platform.put_object(effect.key, effect.value)
    await context.feed(RowWriteReplied(effect.key, reply.status, reply.version))
