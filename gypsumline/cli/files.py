"""Reads input files of the commands."""

from __future__ import annotations

import sys
from pathlib import Path

from gypsumline.core.errors import InvalidInputError


def read_text(file: str) -> str:
    """Returns the text of a file, or of the standard input for "-".

    Raises:
      InvalidInputError: The file cannot be read or is not UTF-8.
    """
    try:
        if file == "-":
            return sys.stdin.buffer.read().decode()
        return Path(file).read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        allowed = f"a readable file of UTF-8 text ({error})"
        raise InvalidInputError("file", file, allowed) from error
