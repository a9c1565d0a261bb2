"""HTTP/1.1 requests, answers and errors of the light client and server."""

from __future__ import annotations

import dataclasses
import http
from collections.abc import Mapping

from gypsumline.core.errors import GypsumlineError

NO_HEADERS: Mapping[str, str] = {}


class HttpError(GypsumlineError):
    """An HTTP exchange failed."""


class HttpUnansweredError(HttpError):
    """A request has no answer; it may have been carried out."""


class HttpUnsentError(HttpError):
    """A request was not sent, so it was not carried out."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """A request that was read in full.

    Attributes:
      method: Method, in capitals.
      target: Path and query, as sent.
      headers: Headers; names in lower case.
      body: Body.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """An answer that was read in full.

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
    """Returns the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_response(answer: HttpResponse, is_last: bool) -> bytes:
    """Returns the bytes of an answer.

    Args:
      answer: The answer.
      is_last: Whether the connection is closed after it.
    """
    phrase = http.HTTPStatus(answer.status).phrase
    lines = [f"HTTP/1.1 {answer.status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    if answer.status != http.HTTPStatus.NO_CONTENT:
        lines.append(f"Content-Length: {len(answer.body)}")
    if is_last:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + answer.body
