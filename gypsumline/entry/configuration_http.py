"""Operators' routes: the one plain text."""

from __future__ import annotations

import json

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from gypsumline.core.configuration_text import diff_texts, parse_configuration
from gypsumline.core.effects import (
    ChangeOutcome,
    ConfigurationChange,
    ConfigurationRow,
)
from gypsumline.core.errors import InvalidInputError, TableUnavailableError
from gypsumline.entry.http_models import (
    CONFIGURATION_BYTES_MAX,
    PROBLEM_MEDIA_TYPE,
    ConfigurationCheck,
    ConfigurationPut,
    make_problem,
    parse_body,
)
from gypsumline.entry.node import EntryNode
from gypsumline.entry.table_task import TableTask


class ConfigurationHttp:
    """Reads, checks and changes the operators' text."""

    def __init__(self, node: EntryNode, table: TableTask) -> None:
        self._node = node
        self._table = table

    def routes(self) -> list[Route]:
        """Returns the operators' routes."""
        return [
            Route("/v1/configuration", self.show, methods=["GET"]),
            Route("/v1/configuration", self.change, methods=["PUT"]),
            Route("/v1/configuration/check", self.check, methods=["POST"]),
            Route("/v1/configuration/history", self.history, methods=["GET"]),
        ]

    async def show(self, request: Request) -> Response:
        """Answers `GET /v1/configuration`."""
        token = request.query_params.get("token")
        try:
            if token is not None:
                row = await self._find_token(token)
            else:
                row = await self._table.find_configuration(
                    self._version_of(request)
                )
        except TableUnavailableError as error:
            return _table_problem(error)
        if row is None:
            return _problem(404, "no-such-version", "No such version")
        return _json(200, _row_fields(row))

    async def check(self, request: Request) -> Response:
        """Answers `POST /v1/configuration/check`."""
        raw = await request.body()
        body = parse_body(ConfigurationCheck, raw, CONFIGURATION_BYTES_MAX)
        parse_configuration(body.text)
        return _json(200, {"valid": True})

    async def history(self, request: Request) -> Response:
        """Answers `GET /v1/configuration/history`."""
        try:
            rows = await self._table.list_configurations()
        except TableUnavailableError as error:
            return _table_problem(error)
        versions = [_row_fields(row, with_text=False) for row in rows]
        return _json(200, {"versions": versions})

    async def change(self, request: Request) -> Response:
        """Answers `PUT /v1/configuration`."""
        raw = await request.body()
        body = parse_body(ConfigurationPut, raw, CONFIGURATION_BYTES_MAX)
        change = ConfigurationChange(
            base_version=body.base_version,
            text=body.text,
            configuration=parse_configuration(body.text),
            author=body.author,
            note=body.note,
            write_token=body.write_token,
        )
        outcome = await self._node.propose(change)
        if outcome.kind == "accepted":
            fields = {"kind": "accepted", "version": outcome.version}
            return _json(200, fields)
        if outcome.kind == "refused":
            return await self._refused(change, outcome)
        fields = {
            "kind": "unknown",
            "write_token": change.write_token,
            "detail": outcome.detail,
        }
        return _json(504, fields)

    async def _refused(
        self, change: ConfigurationChange, outcome: ChangeOutcome
    ) -> Response:
        try:
            rows = await self._table.list_configurations()
        except TableUnavailableError:
            rows = ()
        between = [
            _row_fields(row, with_text=False)
            for row in rows
            if row.version > change.base_version
        ]
        fields = {
            "kind": "refused",
            "version": outcome.version,
            "detail": outcome.detail,
            "diff": _diff_since(change.base_version, rows),
            "between": between,
        }
        return _json(409, fields)

    async def _find_token(self, token: str) -> ConfigurationRow | None:
        for row in await self._table.list_configurations():
            if row.write_token == token:
                return row
        return None

    def _version_of(self, request: Request) -> int:
        text = request.query_params.get("version")
        if text is None:
            return self._node.record.configuration_version
        if not text.isascii() or not text.isdigit():
            raise InvalidInputError("version", text, "a number from 1")
        return int(text)


def _diff_since(base_version: int, rows: tuple[ConfigurationRow, ...]) -> str:
    texts = {row.version: row.text for row in rows}
    if not texts:
        return ""
    return diff_texts(texts.get(base_version, ""), texts[max(texts)])


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


def _json(status: int, fields: dict[str, object]) -> Response:
    return Response(
        json.dumps(fields), status_code=status, media_type="application/json"
    )


def _problem(status: int, name: str, title: str, detail: str = "") -> Response:
    problem = make_problem(status, name, title, detail=detail)
    return Response(
        problem.body, status_code=status, media_type=PROBLEM_MEDIA_TYPE
    )


def _table_problem(error: TableUnavailableError) -> Response:
    return _problem(
        503, "table-unavailable", "The platform's table is down", str(error)
    )
