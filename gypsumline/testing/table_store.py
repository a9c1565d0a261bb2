"""In-memory table and object store of the platform stand-in."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Sequence

from gypsumline.core.errors import TableConflictError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of the table.

    Attributes:
      key: Name of the row.
      version: Number of writes to this row; 0 stands for a missing row.
      value: JSON value.
      write_token: Token of the write that created this version.
      sequence: Sequence number of that write in the whole table.
    """

    key: str
    version: int
    value: object
    write_token: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """One conditional write.

    Attributes:
      key: Name of the row.
      expected_version: Version that the row must have; 0 if it must not exist.
      value: JSON value.
      write_token: Token by which the writer recognizes its own write.
    """

    key: str
    expected_version: int
    value: object
    write_token: str


class TableStore:
    """Rows with compare-and-set writes and multi-row transactions."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._sequence = 0

    def get(self, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""
        return self._rows.get(key)

    def list_rows(self, prefix: str, limit: int) -> list[Row]:
        """Returns rows by key prefix, the most recently written first."""
        matches = [r for r in self._rows.values() if r.key.startswith(prefix)]
        matches.sort(key=lambda row: row.sequence, reverse=True)
        return matches[:limit]

    def write(self, writes: Sequence[Write]) -> list[Row]:
        """Applies all writes atomically and returns the new rows.

        Raises:
          TableConflictError: A row does not have the expected version.
        """
        for write in writes:
            row = self._rows.get(write.key)
            found = row.version if row else 0
            if found != write.expected_version:
                raise TableConflictError(
                    write.key, write.expected_version, found
                )
        return [self._apply(write) for write in writes]

    def _apply(self, write: Write) -> Row:
        self._sequence += 1
        row = Row(
            key=write.key,
            version=write.expected_version + 1,
            value=write.value,
            write_token=write.write_token,
            sequence=self._sequence,
        )
        self._rows[write.key] = row
        return row


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """Contents of an object and their entity tag."""

    data: bytes
    etag: str


class ObjectStore:
    """Objects with conditional writes by entity tag."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}

    def get(self, key: str) -> StoredObject | None:
        """Returns an object, or None if it does not exist."""
        return self._objects.get(key)

    def put(self, key: str, data: bytes, if_match: str | None) -> str | None:
        """Stores an object; returns its tag, or None on a conflict.

        Args:
          key: Name of the object.
          data: Its bytes.
          if_match: Tag that the object must have; "" if it must not exist;
            None for no condition.
        """
        if if_match is not None:
            found = self._objects.get(key)
            if (found.etag if found else "") != if_match:
                return None
        digest = hashlib.sha256(data).hexdigest()
        etag = f'"{digest[:32]}"'
        self._objects[key] = StoredObject(data, etag)
        return etag
