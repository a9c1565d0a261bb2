"""Runs the table operations that the control machine asks for."""

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

Listener = Callable[[TableReadResult | TableWriteResult], None]


def configuration_key(version: int) -> str:
    """Returns the row key of a configuration version."""
    return f"{CONFIGURATION_PREFIX}{version:010d}"


class TableOperations:
    """Turns table effects into operations and their results into inputs."""

    def __init__(self, table: Table, listener: Listener) -> None:
        self._table = table
        self._listener = listener
        self._tasks: set[asyncio.Task[None]] = set()

    def read(self, effect: ReadTable) -> None:
        """Starts a read of the control row."""
        self._start(self._read(effect))

    def write(self, effect: WriteTable) -> None:
        """Starts a write of the control row and its configuration row."""
        self._start(self._write(effect))

    async def find_configuration(self, version: int) -> ConfigurationRow | None:
        """Returns a version of the operators' text.

        Raises:
          TableUnavailableError: The table did not answer.
        """
        row = await self._table.read(configuration_key(version))
        return _configuration_row(row) if row is not None else None

    async def list_configurations(self) -> tuple[ConfigurationRow, ...]:
        """Returns the newest versions of the operators' text, newest first.

        Raises:
          TableUnavailableError: The table did not answer.
        """
        rows = await self._table.list_rows(CONFIGURATION_PREFIX, HISTORY_LIMIT)
        found = [_configuration_row(row) for row in rows]
        found.sort(key=lambda row: row.version, reverse=True)
        return tuple(found)

    async def close(self) -> None:
        """Ends the running operations."""
        for task in list(self._tasks):
            task.cancel()
        await self._table.close()

    def _start(self, operation: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(operation)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, effect: ReadTable) -> None:
        asked_at = boot_time()
        try:
            row = await self._table.read(CONTROL_KEY)
            record = _control_record(row)
        except TableUnavailableError as error:
            _LOGGER.debug("read failed", extra={"detail": str(error)})
            self._listener(
                TableReadResult(
                    read_id=effect.read_id, ok=False, asked_at=asked_at
                )
            )
            return
        self._listener(
            TableReadResult(
                read_id=effect.read_id,
                ok=True,
                asked_at=asked_at,
                record=record,
                write_token=row.write_token if row is not None else "",
            )
        )

    async def _write(self, effect: WriteTable) -> None:
        try:
            await self._table.write(_row_writes(effect))
            kind = "written"
        except TableConflictError:
            kind = "conflict"
        except TableUnavailableError:
            kind = "unknown"
        self._listener(TableWriteResult(write_id=effect.write_id, kind=kind))


def _control_record(row: Row | None) -> ControlRecord | None:
    return None if row is None else _convert(row, ControlRecord)


def _configuration_row(row: Row) -> ConfigurationRow:
    return _convert(row, ConfigurationRow)


def _convert(row: Row, model: type[_Model]) -> _Model:
    try:
        return msgspec.convert(row.value, model)
    except msgspec.ValidationError as error:
        _LOGGER.error(
            "row is not readable",
            extra={"key": row.key, "detail": str(error)},
        )
        raise TableUnavailableError(f"row {row.key}: {error}") from error


def _row_writes(effect: WriteTable) -> tuple[RowWrite, ...]:
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
