"""HTTP client of the entries, for callers and operators."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import typing
import urllib.parse
from collections.abc import AsyncIterator, Sequence

import aiohttp

from gypsumline.cli.options import DEFAULT_ENTRY_URL
from gypsumline.core.errors import GypsumlineError, InvalidInputError

PROBLEM_MEDIA_TYPE = "application/problem+json"
CONNECT_TIMEOUT_SECONDS = 3.0
# Added to the time that the request asks the entry to wait.
RESPONSE_TIMEOUT_SECONDS = 10.0
# Status requests are repeated while a change rolls out, and an entry that hangs
# must not delay the change.
STATUS_TIMEOUT_SECONDS = 2.0
_SERVICE_UNAVAILABLE = 503
_PROBLEM_STATUS_MIN = 400

Body = dict[str, typing.Any]


class NotReachableError(GypsumlineError):
    """No entry returned a usable response.

    Attributes:
      reasons: Cause of the failure by the base URL of the entry.
      maybe_received: Whether an entry may have received the request.
    """

    def __init__(self, reasons: dict[str, str], maybe_received: bool) -> None:
        self.reasons = reasons
        self.maybe_received = maybe_received
        tried = "; ".join(f"{url}: {text}" for url, text in reasons.items())
        super().__init__(f"no entry answered ({tried})")


class ProblemError(GypsumlineError):
    """An entry responded with problem details (RFC 9457).

    Attributes:
      status: HTTP status.
      problem: The decoded problem details.
    """

    def __init__(self, status: int, problem: Body) -> None:
        self.status = status
        self.problem = problem
        title = problem.get("title") or f"HTTP status {status}"
        detail = problem.get("detail")
        super().__init__(f"{title}: {detail}" if detail else str(title))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """An HTTP request to an entry.

    Attributes:
      method: HTTP method.
      path: Path with the leading slash.
      query: Query parameters.
      body: JSON value, or None for no body.
      headers: Headers in addition to those that the client sets.
      wait: Seconds for which the request asks the entry to wait.
      answer_limit: Response timeout in seconds, in addition to `wait`.
      is_retryable: Whether the request may be sent to another entry after
        an entry that may have received it.
    """

    method: str
    path: str
    query: dict[str, str] = dataclasses.field(default_factory=dict)
    body: Body | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    wait: float = 0.0
    answer_limit: float = RESPONSE_TIMEOUT_SECONDS
    is_retryable: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """The HTTP response of an entry.

    Attributes:
      url: Base URL of the entry.
      status: HTTP status.
      body: The decoded JSON object.
    """

    url: str
    status: int
    body: Body


class _FailedAttemptError(GypsumlineError):
    """One entry returned no usable response."""

    def __init__(self, reason: str, maybe_received: bool) -> None:
        self.maybe_received = maybe_received
        super().__init__(reason)


class EntryClient:
    """Sends requests to the entries in order until one responds."""

    def __init__(
        self, urls: Sequence[str], session: aiohttp.ClientSession
    ) -> None:
        self._urls = tuple(urls)
        self._session = session

    @property
    def urls(self) -> tuple[str, ...]:
        """Base URLs of the entries, in the order in which they are tried."""
        return self._urls

    async def send(self, request: Request) -> Response:
        """Returns the response of the first entry that responds.

        Raises:
          NotReachableError: No entry returned a usable response. A request that
            is not retryable is not sent on once an entry may have received it.
          ProblemError: The response holds problem details.
        """
        reasons: dict[str, str] = {}
        maybe_received = False
        for url in self._urls:
            try:
                return await self._send_to_entry(url, request)
            except _FailedAttemptError as error:
                reasons[url] = str(error)
                maybe_received = maybe_received or error.maybe_received
            if maybe_received and not request.is_retryable:
                break
        raise NotReachableError(reasons, maybe_received)

    async def get_from(self, url: str, path: str) -> Response:
        """Returns the response of one entry to a GET request.

        Raises:
          NotReachableError: The entry returned no usable response.
          ProblemError: The response holds problem details.
        """
        request = Request(
            method="GET", path=path, answer_limit=STATUS_TIMEOUT_SECONDS
        )
        try:
            return await self._send_to_entry(url, request)
        except _FailedAttemptError as error:
            raise NotReachableError({url: str(error)}, False) from error

    async def _send_to_entry(self, url: str, request: Request) -> Response:
        timeout = aiohttp.ClientTimeout(
            total=request.wait + request.answer_limit,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        try:
            async with self._session.request(
                request.method,
                url + request.path,
                params=request.query,
                json=request.body,
                headers=request.headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                raw = await response.read()
                return _parse_response(url, response, raw)
        except aiohttp.ClientConnectorError as error:
            reason = f"cannot connect: {error.os_error.strerror}"
            raise _FailedAttemptError(reason, False) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise _FailedAttemptError(
                "cannot connect in time", False
            ) from error
        except TimeoutError as error:
            raise _FailedAttemptError("no answer in time", True) from error
        except (aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise _FailedAttemptError(reason, True) from error


@contextlib.asynccontextmanager
async def open_client(urls: Sequence[str]) -> AsyncIterator[EntryClient]:
    """Yields a client for the entries at the base URLs."""
    async with aiohttp.ClientSession(middlewares=(_prevent_resend,)) as session:
        yield EntryClient(urls, session)


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp retries idempotent methods such as PUT and DELETE when the
    # connection is lost. The retry of a configuration change would be refused
    # if the first attempt was accepted.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        reason = str(error) or type(error).__name__
        raise _FailedAttemptError(reason, True) from error


def parse_urls(texts: Sequence[str]) -> list[str]:
    """Returns the base URLs in the values of an option.

    Args:
      texts: Option values, each with one or more URLs separated by commas or
        white space. If empty, the URL of a local entry is returned.

    Raises:
      InvalidInputError: A text is not a base URL.
    """
    given = list(texts) or [DEFAULT_ENTRY_URL]
    parts = [part for text in given for part in text.replace(",", " ").split()]
    if not parts:
        raise InvalidInputError("entry", "", "at least one base URL")
    return [_parse_url(part) for part in parts]


def _parse_url(text: str) -> str:
    allowed = "a base URL such as http://127.0.0.1:8080"
    try:
        parts = urllib.parse.urlsplit(text)
        _ = parts.port
    except ValueError as error:
        raise InvalidInputError("entry", text, allowed) from error
    is_plain = not parts.query and not parts.fragment
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise InvalidInputError("entry", text, allowed)
    if not is_plain:
        raise InvalidInputError("entry", text, allowed)
    return text.rstrip("/")


def _parse_response(
    url: str, response: aiohttp.ClientResponse, raw: bytes
) -> Response:
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        reason = f"HTTP status {response.status} without a JSON body"
        raise _FailedAttemptError(reason, True) from error
    if not isinstance(body, dict):
        reason = f"HTTP status {response.status} without a JSON object"
        raise _FailedAttemptError(reason, True)
    if response.content_type != PROBLEM_MEDIA_TYPE:
        return Response(url=url, status=response.status, body=body)
    problem = ProblemError(response.status, body)
    if response.status == _SERVICE_UNAVAILABLE:
        # The entry is starting or leaving and did not process the request.
        raise _FailedAttemptError(str(problem), False) from problem
    raise problem
