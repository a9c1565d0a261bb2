"""Clients of the platform's table service."""

from gypsumline.table.http_table import HttpTable
from gypsumline.table.table import Row, RowWrite, Table, open_table

__all__ = ["HttpTable", "Row", "RowWrite", "Table", "open_table"]
