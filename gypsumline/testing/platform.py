"""Stand-in for the platform: table service, object store, leases, usage.

All data is kept in memory. Run it with
`python -m gypsumline.testing.platform --port PORT`; `POST /faults` changes the
fault settings at run time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import pydantic
import pydantic_settings
import uvloop
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gypsumline.core.errors import TableConflictError
from gypsumline.testing.http_server import (
    ConnectionClosedResponse,
    make_stop_event,
    read_complete_body,
    serve,
)
from gypsumline.testing.leases import LeaseRegistry, LeaseRequest
from gypsumline.testing.platform_faults import (
    Faults,
    FaultsChange,
    FaultState,
    Outage,
    RateLimiter,
)
from gypsumline.testing.table_store import ObjectStore, Row, TableStore, Write

_LISTED_ROWS_MAX = 1000
_Handler = Callable[[Request], Awaitable[Response]]


class PlatformSettings(Faults, pydantic_settings.BaseSettings):
    """Flags of the stand-in: the address and the initial faults."""

    model_config = pydantic_settings.SettingsConfigDict(
        cli_kebab_case=True, extra="forbid"
    )

    host: str = "127.0.0.1"
    port: int = 0
    seed: int = 1
    usage_lag: float = pydantic.Field(default=5.0, ge=0, le=600)


class _WriteBody(pydantic.BaseModel):
    key: str
    expected_version: int = pydantic.Field(ge=0)
    value: pydantic.JsonValue
    write_token: str = ""


class _TransactionBody(pydantic.BaseModel):
    writes: list[_WriteBody] = pydantic.Field(min_length=1, max_length=100)


class Platform:
    """Services of the platform, with injected faults and request counts."""

    def __init__(self, settings: PlatformSettings) -> None:
        names = set(Faults.model_fields)
        self.faults = FaultState(Faults(**settings.model_dump(include=names)))
        self.table = TableStore()
        self.objects = ObjectStore()
        self.leases = LeaseRegistry(settings.usage_lag)
        self._rng = random.Random(settings.seed)
        self._read_limit = RateLimiter()
        self._write_limit = RateLimiter()
        self._counts = {"reads": 0, "writes": 0, "refused": 0, "lost": 0}

    def make_app(self) -> Starlette:
        """Returns the application with all routes."""
        read, write = self._with_read_faults, self._with_write_faults
        routes = [
            ("/table", "GET", read(self._list_rows)),
            ("/table/{key:path}", "GET", read(self._get_row)),
            ("/table/{key:path}", "PUT", write(self._put_row)),
            ("/transactions", "POST", write(self._transact)),
            ("/objects/{key:path}", "GET", read(self._get_object)),
            ("/objects/{key:path}", "PUT", write(self._put_object)),
            ("/leases", "POST", write(self._post_lease)),
            ("/leases/{lease_id}", "PUT", write(self._renew_lease)),
            ("/leases/{lease_id}", "DELETE", write(self._end_lease)),
            ("/usage", "GET", read(self._get_usage)),
            ("/faults", "GET", self._get_faults),
            ("/faults", "POST", self._post_faults),
            ("/counts", "GET", self._get_counts),
            ("/healthz", "GET", self._get_health),
        ]
        return Starlette(
            routes=[Route(p, e, methods=[m]) for p, m, e in routes]
        )

    def _with_read_faults(self, handler: _Handler) -> _Handler:
        async def handle(request: Request) -> Response:
            faults = self.faults.current
            refusal = await self._apply_outage()
            if refusal is not None:
                return refusal
            if not self._read_limit.try_acquire(1, faults.reads_per_second):
                return self._rate_limited()
            self._counts["reads"] += 1
            return await self._run_delayed(handler, request, faults.latency)

        return handle

    def _with_write_faults(self, handler: _Handler) -> _Handler:
        async def handle(request: Request) -> Response:
            faults = self.faults.current
            refusal = await self._apply_outage()
            if refusal is not None:
                return refusal
            try:
                body = await read_complete_body(request)
            except ClientDisconnect:
                return ConnectionClosedResponse()
            if body is None and request.method != "DELETE":
                return _problem(400, "the body is not whole")
            units = _count_writes(request, body or b"")
            if not self._write_limit.try_acquire(
                units, faults.writes_per_second
            ):
                return self._rate_limited()
            self._counts["writes"] += units
            latency = faults.latency + faults.write_latency
            response = await self._run_delayed(handler, request, latency)
            return self._maybe_drop_response(response)

        return handle

    async def _run_delayed(
        self, handler: _Handler, request: Request, latency: float
    ) -> Response:
        await asyncio.sleep(latency / 2)
        response = await handler(request)
        await asyncio.sleep(latency / 2)
        return response

    async def _apply_outage(self) -> Response | None:
        outage = self.faults.current.outage
        if outage is Outage.NONE:
            return None
        self._counts["refused"] += 1
        if outage is Outage.REFUSE:
            return _problem(503, "the platform is unavailable")
        await self.faults.hang()
        return ConnectionClosedResponse()

    def _rate_limited(self) -> Response:
        self._counts["refused"] += 1
        response = _problem(429, "the limit of this second is used up")
        response.headers["Retry-After"] = "1"
        return response

    def _maybe_drop_response(self, response: Response) -> Response:
        share = self.faults.current.lose_answers
        if share and self._rng.random() < share:
            self._counts["lost"] += 1
            return ConnectionClosedResponse()
        return response

    async def _get_row(self, request: Request) -> Response:
        row = self.table.get(request.path_params["key"])
        if row is None:
            return _problem(404, "no such row")
        return JSONResponse(_row_fields(row))

    async def _list_rows(self, request: Request) -> Response:
        prefix = request.query_params.get("prefix", "")
        try:
            limit = int(request.query_params.get("limit", "100"))
        except ValueError:
            return _problem(400, "limit must be a number")
        limit = max(0, min(limit, _LISTED_ROWS_MAX))
        rows = self.table.list_rows(prefix, limit)
        return JSONResponse(
            {"rows": [{"key": row.key, **_row_fields(row)} for row in rows]}
        )

    async def _put_row(self, request: Request) -> Response:
        try:
            expected = int(request.headers.get("if-match", "").strip('"'))
            value = await request.json()
        except ValueError:
            return _problem(400, "If-Match must be a version, the body JSON")
        write = Write(
            key=request.path_params["key"],
            expected_version=expected,
            value=value,
            write_token=request.headers.get("x-write-token", ""),
        )
        try:
            row = self.table.write([write])[0]
        except TableConflictError as error:
            return JSONResponse({"version": error.found}, 412)
        return JSONResponse({"version": row.version})

    async def _transact(self, request: Request) -> Response:
        try:
            body = _TransactionBody.model_validate_json(await request.body())
        except pydantic.ValidationError as error:
            return _problem(400, str(error))
        writes = [Write(**write.model_dump()) for write in body.writes]
        if len({write.key for write in writes}) != len(writes):
            return _problem(400, "a key stands twice in the transaction")
        try:
            rows = self.table.write(writes)
        except TableConflictError as error:
            found = {"key": error.key, "version": error.found}
            return JSONResponse(found, 409)
        return JSONResponse({"versions": {r.key: r.version for r in rows}})

    async def _get_object(self, request: Request) -> Response:
        stored = self.objects.get(request.path_params["key"])
        if stored is None:
            return _problem(404, "no such object")
        return Response(
            stored.data,
            headers={"ETag": stored.etag},
            media_type="application/octet-stream",
        )

    async def _put_object(self, request: Request) -> Response:
        key = request.path_params["key"]
        if_match = request.headers.get("if-match")
        if request.headers.get("if-none-match") == "*":
            if_match = ""
        etag = self.objects.put(key, await request.body(), if_match)
        if etag is None:
            return _problem(412, "the object has another ETag")
        return Response(status_code=204, headers={"ETag": etag})

    async def _post_lease(self, request: Request) -> Response:
        try:
            lease_request = LeaseRequest.model_validate_json(
                await request.body()
            )
        except pydantic.ValidationError as error:
            return _problem(400, str(error))
        return JSONResponse(self.leases.grant(lease_request).model_dump(), 201)

    async def _renew_lease(self, request: Request) -> Response:
        lease = self.leases.renew(request.path_params["lease_id"])
        if lease is None:
            return _problem(404, "the lease has ended")
        return JSONResponse(lease.model_dump())

    async def _end_lease(self, request: Request) -> Response:
        if not self.leases.end(request.path_params["lease_id"]):
            return _problem(404, "the lease has ended")
        return Response(status_code=204)

    async def _get_usage(self, request: Request) -> Response:
        return JSONResponse(self.leases.usage())

    async def _get_faults(self, request: Request) -> Response:
        return JSONResponse(self.faults.current.model_dump())

    async def _post_faults(self, request: Request) -> Response:
        try:
            change = FaultsChange.model_validate_json(await request.body())
        except pydantic.ValidationError as error:
            return _problem(400, str(error))
        self.faults.change(change)
        return JSONResponse(self.faults.current.model_dump())

    async def _get_counts(self, request: Request) -> Response:
        return JSONResponse(self._counts)

    async def _get_health(self, request: Request) -> Response:
        return JSONResponse({"status": "ok"})


def _row_fields(row: Row) -> dict[str, object]:
    return {
        "version": row.version,
        "value": row.value,
        "write_token": row.write_token,
    }


def _count_writes(request: Request, body: bytes) -> int:
    if request.url.path != "/transactions":
        return 1
    try:
        return max(1, len(json.loads(body)["writes"]))
    except (ValueError, KeyError, TypeError):
        return 1


def _problem(status: int, detail: str) -> Response:
    return JSONResponse(
        {"status": status, "detail": detail},
        status,
        media_type="application/problem+json",
    )


@contextlib.asynccontextmanager
async def run_platform(settings: PlatformSettings) -> AsyncIterator[str]:
    """Runs the stand-in in this process; yields its base URL."""
    platform = Platform(settings)
    async with serve(platform.make_app(), settings.host, settings.port) as port:
        yield f"http://{settings.host}:{port}"


async def _main(settings: PlatformSettings) -> None:
    stop = make_stop_event()
    async with run_platform(settings) as url:
        print(f"platform stand-in at {url}", flush=True)
        await stop.wait()


def main() -> None:
    """Runs the stand-in until SIGTERM or SIGINT."""
    settings = pydantic_settings.CliApp.run(PlatformSettings)
    uvloop.run(_main(settings))


if __name__ == "__main__":
    main()
