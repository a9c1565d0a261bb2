"""Reads request bodies and enforces a size limit while reading."""

from __future__ import annotations

from starlette.requests import Request

from gypsumline.core.errors import InvalidInputError

_DIGITS_MAX = 18


class BodyTooLargeError(InvalidInputError):
    """A request body exceeds the size limit (HTTP status 413)."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__("body", size, f"up to {limit} bytes")


async def read_body(request: Request, limit: int) -> bytes:
    """Reads the body of a request.

    Args:
      request: Request whose body is read.
      limit: Maximum size of the body, in bytes.

    Raises:
      BodyTooLargeError: The body exceeds the limit; the rest is not read.
      starlette.requests.ClientDisconnect: The client disconnected before the
        end of the body.
    """
    declared = request.headers.get("content-length", "")
    if declared.isascii() and declared.isdigit():
        # The conversion of a number with too many digits raises ValueError.
        size = int(declared[:_DIGITS_MAX])
        if size > limit:
            raise BodyTooLargeError(size, limit)
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > limit:
            raise BodyTooLargeError(len(body), limit)
    return bytes(body)
