"""HTTP routes for operators: reads and changes the configuration text."""

from __future__ import annotations

import asyncio
import json

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from gypsumline.core.configuration import Configuration
from gypsumline.core.configuration_text import diff_texts, parse_configuration
from gypsumline.core.effects import (
    ChangeOutcome,
    ConfigurationChange,
    ConfigurationRow,
)
from gypsumline.core.errors import InvalidInputError, TableUnavailableError
from gypsumline.entry.node import EntryNode
from gypsumline.entry.table_task import TableOperations
from gypsumline.interface.http_models import (
    CONFIGURATION_BYTES_MAX,
    PROBLEM_MEDIA_TYPE,
    ConfigurationCheck,
    ConfigurationPut,
    make_problem,
    parse_body,
)
from gypsumline.runtime.clock import boot_time
from gypsumline.runtime.request_body import read_body
from gypsumline.runtime.single_thread_pool import (
    SingleThreadPool,
    TooManyWaitingError,
)

# Parsing a malicious text of the maximum size takes seconds.
_OPEN_PARSES_MAX = 8
_ACCEPTANCE_TIMEOUT_SECONDS = 5.0
_ACCEPTANCE_POLL_SECONDS = 0.05
_RETRY_AFTER_SECONDS = 2
_VERSION_DIGITS_MAX = 18


class ConfigurationRoutes:
    """Handles requests that read, check or change the configuration text."""

    def __init__(self, node: EntryNode, table: TableOperations) -> None:
        self._node = node
        self._table = table
        self._parser_pool = SingleThreadPool("configuration", _OPEN_PARSES_MAX)

    def routes(self) -> list[Route]:
        """Returns the routes of the configuration."""
        return [
            Route("/v1/configuration", self.show, methods=["GET"]),
            Route("/v1/configuration", self.change, methods=["PUT"]),
            Route("/v1/configuration/check", self.check, methods=["POST"]),
            Route("/v1/configuration/history", self.history, methods=["GET"]),
        ]

    async def show(self, request: Request) -> Response:
        """Handles `GET /v1/configuration`."""
        token = request.query_params.get("token")
        try:
            if token is not None:
                row = await self._find_by_token(token)
            else:
                row = await self._table.find_configuration(
                    self._parse_version(request)
                )
        except TableUnavailableError as error:
            return _table_unavailable_response(error)
        if row is None:
            return _problem_response(404, "no-such-version", "No such version")
        return _json_response(200, _row_fields(row))

    async def check(self, request: Request) -> Response:
        """Handles `POST /v1/configuration/check`."""
        raw = await read_body(request, CONFIGURATION_BYTES_MAX)
        body = parse_body(ConfigurationCheck, raw, CONFIGURATION_BYTES_MAX)
        try:
            await self._parse(body.text)
        except TooManyWaitingError as error:
            return _busy_response(error)
        return _json_response(200, {"valid": True})

    async def history(self, request: Request) -> Response:
        """Handles `GET /v1/configuration/history`."""
        try:
            rows = await self._table.list_configurations()
        except TableUnavailableError as error:
            return _table_unavailable_response(error)
        versions = [_row_fields(row, with_text=False) for row in rows]
        return _json_response(200, {"versions": versions})

    async def change(self, request: Request) -> Response:
        """Handles `PUT /v1/configuration`."""
        raw = await read_body(request, CONFIGURATION_BYTES_MAX)
        body = parse_body(ConfigurationPut, raw, CONFIGURATION_BYTES_MAX)
        try:
            configuration = await self._parse(body.text)
        except TooManyWaitingError as error:
            return _busy_response(error)
        change = ConfigurationChange(
            base_version=body.base_version,
            text=body.text,
            configuration=configuration,
            author=body.author,
            note=body.note,
            write_token=body.write_token,
        )
        outcome = await self._node.propose(change)
        if outcome.kind == "accepted":
            return _accepted_response(outcome.version)
        if outcome.kind == "refused":
            return await self._handle_refusal(change, outcome)
        return _unknown_response(change, outcome.detail)

    async def _parse(self, text: str) -> Configuration:
        return await self._parser_pool.call(parse_configuration, text)

    async def _handle_refusal(
        self, change: ConfigurationChange, outcome: ChangeOutcome
    ) -> Response:
        """Returns the response to a refused change.

        A client or load balancer may send a change twice, and the second
        request is refused because the first one changed the version. If the
        history holds the change, the response is therefore that of an accepted
        change.
        """
        try:
            rows = await self._table.list_configurations()
        except TableUnavailableError as error:
            detail = f"{outcome.detail}; the history can't be read: {error}"
            return _unknown_response(change, detail)
        for row in rows:
            if row.write_token == change.write_token:
                if row.text == change.text:
                    return await self._wait_for_acceptance(change, row.version)
                break
        between = [
            _row_fields(row, with_text=False)
            for row in rows
            if row.version > change.base_version
        ]
        fields = {
            "kind": "refused",
            "version": outcome.version,
            "detail": outcome.detail,
            "diff": await self._diff_since(change.base_version, rows),
            "between": between,
        }
        return _json_response(409, fields)

    async def _wait_for_acceptance(
        self, change: ConfigurationChange, version: int
    ) -> Response:
        deadline = boot_time() + _ACCEPTANCE_TIMEOUT_SECONDS
        while self._node.accepted_version < version:
            if boot_time() > deadline:
                detail = f"written as version {version}, not accepted yet"
                return _unknown_response(change, detail)
            await asyncio.sleep(_ACCEPTANCE_POLL_SECONDS)
        return _accepted_response(version)

    async def _diff_since(
        self, base_version: int, rows: tuple[ConfigurationRow, ...]
    ) -> str:
        texts = {row.version: row.text for row in rows}
        if not texts:
            return ""
        earlier = texts.get(base_version, "")
        try:
            return await self._parser_pool.call(
                diff_texts, earlier, texts[max(texts)]
            )
        except TooManyWaitingError:
            return ""

    async def _find_by_token(self, token: str) -> ConfigurationRow | None:
        for row in await self._table.list_configurations():
            if row.write_token == token:
                return row
        return None

    def _parse_version(self, request: Request) -> int:
        text = request.query_params.get("version")
        if text is None:
            return self._node.record.configuration_version
        is_number = text.isascii() and text.isdigit()
        if not is_number or len(text) > _VERSION_DIGITS_MAX:
            raise InvalidInputError("version", text, "a number from 1")
        return int(text)


def _accepted_response(version: int) -> Response:
    return _json_response(200, {"kind": "accepted", "version": version})


def _unknown_response(change: ConfigurationChange, detail: str) -> Response:
    fields: dict[str, object] = {
        "kind": "unknown",
        "write_token": change.write_token,
        "detail": detail,
    }
    return _json_response(504, fields)


def _row_fields(
    row: ConfigurationRow, *, with_text: bool = True
) -> dict[str, object]:
    fields: dict[str, object] = {
        "version": row.version,
        "author": row.author,
        "note": row.note,
        "written_at": row.written_at_wall,
        "write_token": row.write_token,
    }
    if with_text:
        fields["text"] = row.text
    return fields


def _json_response(status: int, fields: dict[str, object]) -> Response:
    return Response(
        json.dumps(fields), status_code=status, media_type="application/json"
    )


def _problem_response(
    status: int, name: str, title: str, detail: str = ""
) -> Response:
    problem = make_problem(status, name, title, detail=detail)
    return Response(
        problem.body, status_code=status, media_type=PROBLEM_MEDIA_TYPE
    )


def _table_unavailable_response(error: TableUnavailableError) -> Response:
    return _problem_response(
        503, "table-unavailable", "The platform's table is down", str(error)
    )


def _busy_response(error: TooManyWaitingError) -> Response:
    response = _problem_response(
        503, "too-many-requests", "Too many open requests", str(error)
    )
    response.headers["Retry-After"] = str(_RETRY_AFTER_SECONDS)
    return response
