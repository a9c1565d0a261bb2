"""Reading of request bodies, bounded while they arrive."""

from __future__ import annotations

from starlette.requests import Request

from gypsumline.core.errors import InvalidInputError


class BodyTooLargeError(InvalidInputError):
    """A request body is longer than the limit (HTTP status 413)."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__("body", size, f"up to {limit} bytes")


async def read_body(request: Request, limit: int) -> bytes:
    """Returns the body of a request.

    Raises:
      BodyTooLargeError: The body is over the limit; the rest is not kept.
      starlette.requests.ClientDisconnect: The client left before the end.
    """
    declared = request.headers.get("content-length", "")
    if declared.isascii() and declared.isdigit() and int(declared) > limit:
        raise BodyTooLargeError(int(declared), limit)
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > limit:
            raise BodyTooLargeError(len(body), limit)
    return bytes(body)
