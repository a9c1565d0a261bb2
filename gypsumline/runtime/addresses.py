"""Addresses of the form `host:port`."""

from __future__ import annotations

import re

from gypsumline.core.errors import InvalidInputError

PORT_MAX = 65535
# IPv4 addresses and host names; the platform has no IPv6.
_HOST_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,253}")
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_ALLOWED = f"HOST:PORT with a port from 1 to {PORT_MAX}"


def parse_address(text: str, field: str = "address") -> tuple[str, int]:
    """Returns the host and the port of an address.

    Args:
      text: Text of the form `host:port`.
      field: Name of the field for the error.

    Raises:
      InvalidInputError: The text is not such an address.
    """
    host, _, port = text.rpartition(":")
    if _HOST_PATTERN.fullmatch(host) and _PORT_PATTERN.fullmatch(port):
        number = int(port)
        if 0 < number <= PORT_MAX:
            return host, number
    raise InvalidInputError(field, text, _ALLOWED)
