"""Runs the table operations requested by the control machine."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import TypeVar, cast

import msgspec

from gypsumline.core.control.record import ControlRecord
from gypsumline.core.effects import (
    ConfigurationRow,
    ReadTable,
    TableReadResult,
    TableWriteResult,
    WriteTable,
)
from gypsumline.core.errors import TableConflictError, TableUnavailableError
from gypsumline.runtime.clock import boot_time
from gypsumline.table.table import Row, RowWrite, Table

CONTROL_KEY = "control"
CONFIGURATION_PREFIX = "configuration/"
HISTORY_LIMIT = 200

_Model = TypeVar("_Model")
_LOGGER = logging.getLogger(__name__)

ResultCallback = Callable[[TableReadResult | TableWriteResult], None]


def configuration_key(version: int) -> str:
    """Returns the row key of a configuration version."""
    return f"{CONFIGURATION_PREFIX}{version:010d}"


class TableOperations:
    """Runs table effects as operations and reports their results.

    Args:
      table: The platform's table.
      on_result: Called with the result of each read and write.
    """

    def __init__(self, table: Table, on_result: ResultCallback) -> None:
        self._table = table
        self._on_result = on_result
        self._tasks: set[asyncio.Task[None]] = set()

    def read(self, effect: ReadTable) -> None:
        """Starts a read of the control row."""
        self._start_task(self._read_record(effect))

    def write(self, effect: WriteTable) -> None:
        """Starts a write of the control row and its configuration row."""
        self._start_task(self._write_rows(effect))

    async def find_configuration(self, version: int) -> ConfigurationRow | None:
        """Returns a version of the configuration text; none if it is missing.

        Raises:
          TableUnavailableError: The table did not answer.
        """
        row = await self._table.read(configuration_key(version))
        return _decode_configuration(row) if row is not None else None

    async def list_configurations(self) -> tuple[ConfigurationRow, ...]:
        """Returns the newest configuration versions, in descending order.

        Raises:
          TableUnavailableError: The table did not answer.
        """
        rows = await self._table.list_rows(CONFIGURATION_PREFIX, HISTORY_LIMIT)
        configurations = [_decode_configuration(row) for row in rows]
        configurations.sort(key=lambda row: row.version, reverse=True)
        return tuple(configurations)

    async def close(self) -> None:
        """Cancels the operations in progress and closes the table."""
        for task in list(self._tasks):
            task.cancel()
        await self._table.close()

    def _start_task(self, operation: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(operation)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_record(self, effect: ReadTable) -> None:
        asked_at = boot_time()
        try:
            row = await self._table.read(CONTROL_KEY)
            record = _decode_record(row)
        except TableUnavailableError as error:
            _LOGGER.debug(
                "reading the control record failed",
                extra={"detail": str(error)},
            )
            self._on_result(
                TableReadResult(
                    read_id=effect.read_id, ok=False, asked_at=asked_at
                )
            )
            return
        self._on_result(
            TableReadResult(
                read_id=effect.read_id,
                ok=True,
                asked_at=asked_at,
                record=record,
                write_token=row.write_token if row is not None else "",
            )
        )

    async def _write_rows(self, effect: WriteTable) -> None:
        try:
            await self._table.write(_make_row_writes(effect))
            kind = "written"
        except TableConflictError:
            kind = "conflict"
        except TableUnavailableError:
            kind = "unknown"
        self._on_result(TableWriteResult(write_id=effect.write_id, kind=kind))


def _decode_record(row: Row | None) -> ControlRecord | None:
    return None if row is None else _decode_row(row, ControlRecord)


def _decode_configuration(row: Row) -> ConfigurationRow:
    return _decode_row(row, ConfigurationRow)


def _decode_row(row: Row, model: type[_Model]) -> _Model:
    try:
        return msgspec.convert(row.value, model)
    except msgspec.ValidationError as error:
        _LOGGER.error(
            "table row cannot be decoded",
            extra={"key": row.key, "detail": str(error)},
        )
        raise TableUnavailableError(f"row {row.key}: {error}") from error


def _make_row_writes(effect: WriteTable) -> tuple[RowWrite, ...]:
    record = cast(ControlRecord, effect.record)
    control = RowWrite(
        key=CONTROL_KEY,
        expected_version=record.revision - 1,
        value=msgspec.to_builtins(record),
        write_token=effect.write_token,
    )
    if effect.row is None:
        return (control,)
    configuration = RowWrite(
        key=configuration_key(effect.row.version),
        expected_version=0,
        value=msgspec.to_builtins(effect.row),
        write_token=effect.write_token,
    )
    return (control, configuration)
