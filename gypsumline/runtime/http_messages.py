"""HTTP/1.1 messages and errors of the lightweight client and server."""

from __future__ import annotations

import dataclasses
import http
import re
import urllib.parse
from collections.abc import Mapping

from gypsumline.core.errors import GypsumlineError

NO_HEADERS: Mapping[str, str] = {}
# Latin-1 without control characters.
_LINE_PATTERN = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


class HttpError(GypsumlineError):
    """An HTTP exchange failed."""


class HttpUnansweredError(HttpError):
    """A request got no response; it may have been processed."""


class HttpUnsentError(HttpError):
    """A request was not sent, so it cannot have been processed."""


class HttpRefusedError(HttpUnsentError):
    """The host answered that no process listens at the address."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """A complete HTTP request.

    Attributes:
      method: Method in upper case.
      target: Path and query as sent.
      headers: Headers; names in lower case.
      body: Body.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path of the target; "" if the target cannot be parsed."""
        try:
            return urllib.parse.urlsplit(self.target).path
        except ValueError:
            return ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A complete HTTP response.

    Attributes:
      status: Status code.
      headers: Headers; names in lower case.
      body: Body.
    """

    status: int
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


def encode_request(
    method: str, host: str, target: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Encodes a request.

    Args:
      method: Method in upper case.
      host: Value of the `Host` header.
      target: Path and query.
      headers: Further headers; `Content-Length` is added if needed.
      body: Body.

    Raises:
      HttpUnsentError: The target or a header has a character that HTTP cannot
        carry, or a line break.
    """
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    for line in lines:
        if not _LINE_PATTERN.fullmatch(line):
            raise HttpUnsentError(f"line {line[:80]!r} cannot be sent")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_response(response: HttpResponse, is_last: bool) -> bytes:
    """Encodes a response.

    Args:
      response: Response to encode.
      is_last: Whether the connection is closed after the response.
    """
    phrase = http.HTTPStatus(response.status).phrase
    lines = [f"HTTP/1.1 {response.status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if response.status != http.HTTPStatus.NO_CONTENT:
        lines.append(f"Content-Length: {len(response.body)}")
    if is_last:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + response.body
