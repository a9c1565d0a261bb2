"""Interface of the transactional table service and its back ends."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

from gypsumline.core.errors import InvalidInputError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row of the table.

    Attributes:
      key: Key of the row.
      version: Version, incremented by 1 with each write; 0 means that the
        row does not exist.
      value: JSON value.
      write_token: Unique token of the newest write.
    """

    key: str
    version: int
    value: object
    write_token: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RowWrite:
    """One write of a transaction, by compare-and-set on the row's version.

    Attributes:
      key: Key of the row.
      expected_version: Version that the row must have; 0 if it must not exist.
      value: JSON value to write.
      write_token: Unique token of this write.
    """

    key: str
    expected_version: int
    value: object
    write_token: str


class Table(Protocol):
    """A transactional table with compare-and-set writes."""

    async def read(self, key: str) -> Row | None:
        """Returns a row, or None if it does not exist.

        Raises:
          TableUnavailableError: The table did not answer.
        """

    async def list_rows(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Returns the rows whose keys start with a prefix, newest first.

        Raises:
          TableUnavailableError: The table did not answer.
        """

    async def write(self, writes: tuple[RowWrite, ...]) -> None:
        """Writes all rows in one transaction.

        Raises:
          TableConflictError: A row has another version than expected; nothing
            was written.
          TableUnavailableError: No answer; the write may have taken effect.
        """

    async def close(self) -> None:
        """Closes the connections."""


TableFactory = Callable[[str], Table]
TABLE_BACKENDS: dict[str, TableFactory] = {}


def table_backend(scheme: str) -> Callable[[TableFactory], TableFactory]:
    """Returns a decorator that registers a back end for a URL scheme."""

    def register(factory: TableFactory) -> TableFactory:
        TABLE_BACKENDS[scheme] = factory
        return factory

    return register


def open_table(url: str) -> Table:
    """Opens the table at a URL.

    Raises:
      InvalidInputError: No back end is registered for the scheme.
    """
    scheme = url.partition(":")[0]
    factory = TABLE_BACKENDS.get(scheme)
    if factory is None:
        allowed = ", ".join(sorted(TABLE_BACKENDS))
        raise InvalidInputError("table_url", url, f"one of {allowed}")
    return factory(url)
