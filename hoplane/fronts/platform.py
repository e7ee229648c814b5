"""The platform's protocol: HTTP/1.1 with headers for facts and streams of events for answers."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Container, Mapping
from contextlib import suppress
from dataclasses import replace
from datetime import timedelta
from math import ceil, isfinite

import orjson
from aiohttp import web

from hoplane import log
from hoplane.config import Config, ConfigError, get_text
from hoplane.core.events import (
    Endpoint,
    EndpointsUpdated,
    Forward,
    RequestInterrupted,
    RequestReceived,
    RequestRejectedAtFront,
    SettingsReloaded,
)
from hoplane.decision.interface import Settings, State, Status
from hoplane.net.aiohttp_internals import time_since_last_received
from hoplane.net.interface import Call, HeadOutcome
from hoplane.net.runtime import Runtime
from hoplane.net.server import (
    DEADLINE_MARGIN,
    AbortableResponse,
    Server,
    StreamSink,
    error_response,
    request_target,
    retry_after_headers,
)

CHAT, READY = "/v1/chat/completions", "/health/ready"
LIVE, STATS = "/health/live", "/stats"  # at endpoints
ID, CLASS, SESSION = "X-Correlation-Id", "X-Service-Class", "X-Session-Key"
ACCOUNT = "X-Account"  # the tenant, where the settings name any
LEFT_MS, FACTS, REPEAT = "X-Time-Left-Ms", "X-Facts", "X-Repeat"
LOAD, NOT_RUN = "X-Backend-Load", "X-Unprocessed"
PASSED = ("Content-Type", "Idempotency-Key")  # an endpoint knows by the latter what it need not run again
STATES = {"Ready": State.LIVE, "Terminating": State.DRAINING, "Gone": State.GONE}
ID_FORM = re.compile(r"[A-Za-z0-9_.:-]{1,128}")
KEY_MOST = 256
CACHED = re.compile(rb'"cached_tokens"\s*:\s*(\d{1,9})')
LOAD_LINE = re.compile(rb"^: ?" + LOAD.encode() + rb": ?([^\r\n]*)", re.MULTILINE | re.IGNORECASE)


def hold_path(id: str) -> str:
    """Give the path of the calls that hold a place and release what is held."""
    return f"/v1/holds/{id}"


def probe_path(settings: Settings) -> str:
    """Give the path of a probe: the one that tells the load, where there are reports."""
    return STATS if settings.waiting_tokens_field else LIVE


def read_list(answer: dict) -> EndpointsUpdated:
    """Translate discovery's list. An entry that cannot be read is told in the log and changes nothing.

    Guards against one bad entry that would hide all others, a drain among them."""
    entries = answer.get("endpoints")
    if not isinstance(entries, list):
        raise ValueError("the list is malformed: endpoints must be a list")
    endpoints, unread = [], []
    for at, each in enumerate(entries):
        try:
            endpoints.append(read_entry(each))
        except (AttributeError, ConfigError, KeyError, TypeError, ValueError, OverflowError) as error:
            name = each.get("name") if isinstance(each, dict) else None
            unread.append(str(name))
            log.write_event_limited("list_entry_bad", entry=at, endpoint=name, error=repr(error))
    return EndpointsUpdated(tuple(endpoints), bool(answer.get("snapshot")), tuple(unread))


def read_entry(each: dict) -> Endpoint:
    """Translate an entry of the list; a status that the protocol does not name gets nothing new."""
    status = get_text(each, "status")
    if status not in STATES:
        log.write_event_limited(
            "list_entry_bad", endpoint=each["name"], error=f"status {status!r} is not known: drains"
        )
    return Endpoint(
        get_text(each, "name"),
        get_text(each, "address"),
        get_text(each, "zone"),
        get_text(each, "type"),
        int(each["group"]),
        STATES.get(status, State.DRAINING),
        float(each.get("weight", 1.0)),
        timedelta(milliseconds=each.get("since_ms", 0)),
    )


def read_load(text: str | bytes) -> dict[str, float]:
    """Translate a load report; what is no figure is left out."""
    load = {}
    for pair in (text if isinstance(text, str) else text.decode("latin-1")).split(","):
        name, _, value = pair.strip().partition("=")
        with suppress(ValueError):
            if isfinite(figure := float(value)):
                load[name] = figure
    return load


def read_asked(
    headers: Mapping[str, str], classes: Mapping[str, object], tenants: Container[str] = ()
) -> RequestReceived:
    """Translate a request's headers; a ValueError names what is wrong.

    A tenant that the settings do not name counts as none: it is served, within nobody's share."""
    id, cls = headers.get(ID, ""), headers.get(CLASS, "")
    if not ID_FORM.fullmatch(id):
        raise ValueError(f"{ID}: is missing or malformed")
    if cls not in classes:
        raise ValueError(f"{CLASS}: is not a class of this service")
    left = headers.get(LEFT_MS, "")
    if not (left.isascii() and left.isdecimal()) or len(left) > 9:
        raise ValueError(f"{LEFT_MS}: must be whole milliseconds")
    pairs = (pair.strip().partition("=") for pair in headers.get(FACTS, "").split(","))
    facts = {name: value for name, _, value in pairs if name}
    lengths = {}
    for name in ("prompt_len", "prefix_len", "max_out"):
        value = facts.get(name, "0" if name == "prefix_len" else "")
        if not (value.isascii() and value.isdecimal()) or len(value) > 9:
            raise ValueError(f"{FACTS}: {name} must be a whole number")
        lengths[name] = int(value)
    session, prefix = headers.get(SESSION, ""), facts.get("prefix", "")
    if max(len(session), len(prefix)) > KEY_MOST:  # guards the module's tables, which keep them for minutes
        raise ValueError(f"{SESSION} and prefix: are at most {KEY_MOST} characters")
    repeat, tenant = headers.get(REPEAT), headers.get(ACCOUNT)
    return RequestReceived(
        id,
        cls,
        lengths["prompt_len"],
        lengths["max_out"],
        max(timedelta(), timedelta(milliseconds=int(left)) - DEADLINE_MARGIN),
        session or None,
        prefix or None,
        lengths["prefix_len"],
        tenant if tenant in tenants else None,
        repeat is not None and repeat != "again",
        repeat == "again",
    )


def read_head(status: int, headers: Mapping[str, str], body: bytes) -> HeadOutcome:
    """Tell what an endpoint's answer means; what is not known for sure may have run."""
    load = read_load(headers.get(LOAD, ""))
    unprocessed = headers.get(NOT_RUN) == "1"
    if status == 200:
        return HeadOutcome(None, 0, load)
    if status == 202:
        return HeadOutcome(Status.MISS, cached(body), load)
    if unprocessed and status in (410, 503, 504):
        return HeadOutcome(Status.FULL, int(status == 410), load)
    return HeadOutcome(Status.ERROR, 0, load)


def cached(data: bytes) -> int:
    """Give how many tokens were found kept, as told last."""
    found = CACHED.findall(data)
    return int(found[-1]) if found else 0


class Exchange:
    """One client's request on this front."""

    def __init__(self, request: web.BaseRequest, received: RequestReceived, body: bytes) -> None:
        self.received, self.body = received, body
        self.method, self.path = request.method, request_target(request)
        self.headers = {"Content-Type": "application/json"}
        self.headers.update({name: request.headers[name] for name in PASSED if name in request.headers})
        self.done: asyncio.Future = asyncio.get_running_loop().create_future()
        response = AbortableResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        )
        response.enable_chunked_encoding()
        self.response = response
        self.sink = StreamSink(request, response, self.done)

    @property
    def disconnected(self) -> bool:
        return self.sink.request.protocol.disconnected

    def call(self, forward: Forward) -> Call:
        return Call(self.method, self.path, {**self.headers, ID: self.received.id}, self.body)

    def time_headers(self, left: timedelta) -> Mapping[str, str]:
        return {LEFT_MS: str(max(1, left // timedelta(milliseconds=1)))}

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> HeadOutcome:
        return read_head(status, headers, body)

    def read_tail(self, tail: bytes) -> tuple[int, dict[str, float]]:
        """Give what a stream's end tells: tokens found kept, and a load report in a comment."""
        lines = LOAD_LINE.findall(tail)
        return cached(tail), read_load(lines[-1]) if lines else {}

    def refuse(self, pause: timedelta | None) -> None:
        self.answer(web.Response(status=503, headers=retry_after_headers(pause), text="refused\n"))

    def fail(self, clash: bool) -> None:
        self.answer(error_response(409, "this id is in use") if clash else error_response(502, "failed"))

    def answer(self, response: web.Response) -> None:
        if not self.done.done():
            self.done.set_result(response)


class Platform:
    """The front that the platform's clients speak to."""

    def __init__(self, config: Config, runtime: Runtime) -> None:
        self.config, self.runtime = config, runtime
        self.know(config.settings)
        self.server, self.runtimes = Server(config, self.handle, error_response), [runtime]
        self.server.interrupt_requests = self.break_off
        self.server.http_server.report_violation = runtime.report_violation

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        if request.path == READY:
            return web.Response(status=200 if self.server.ready else 503)
        if request.path != CHAT:
            return error_response(404, "unknown path", close=True)
        if request.method != "POST":
            return error_response(405, "only POST", close=True)
        try:
            asked = read_asked(request.headers, self.classes, self.tenants)
        except ValueError as error:
            return error_response(400, str(error), close=True)
        body_size = self.server.body_size(request)
        if not self.server.bodies.reserve(body_size):
            return self.turned(asked, self.busy())
        try:
            return await self.chat(request, asked)
        finally:
            self.server.bodies.release(body_size)

    def break_off(self, part: float) -> None:
        """Break off a part of what is open, the newest first: it has the longest way to go."""
        ids = list(self.runtime.exchanges)
        for id in ids[len(ids) - ceil(part * len(ids)) :]:
            self.runtime.feed(RequestInterrupted(id))

    def turned(self, asked: RequestReceived, response: web.Response) -> web.Response:
        """Answer a request that the reducer never took, and let the core count it."""
        self.runtime.feed(RequestRejectedAtFront(asked.class_name, response.status in (429, 503)))
        return response

    def retune(self, settings: Settings) -> None:
        """Take requests of the new classes from now on; those taken keep their rules."""
        self.know(settings)
        self.runtime.feed(SettingsReloaded(settings))

    def know(self, settings: Settings) -> None:
        """Take what the headers of requests may name."""
        self.classes = {cls.name: cls for cls in settings.classes}
        self.tenants = {tenant.name for tenant in settings.tenants}

    def busy(self) -> web.Response:
        """Refuse before a limit is met."""
        pause = timedelta(seconds=1) if self.runtime.state.settings.retry_after else None
        response = web.Response(status=503, headers=retry_after_headers(pause), text="too much at once\n")
        response.force_close()
        return response

    async def chat(self, request: web.BaseRequest, asked: RequestReceived) -> web.StreamResponse:
        """Take a request in and wait for its final answer."""
        body = await self.server.read(request)
        if isinstance(body, web.Response):
            return self.turned(asked, body)
        try:
            if not isinstance(orjson.loads(body), dict):
                return self.turned(asked, error_response(400, "the body must be a JSON object", close=True))
        except orjson.JSONDecodeError:
            return self.turned(asked, error_response(400, "the body is not JSON", close=True))
        if denial := self.server.may_start():
            log.write_event_limited("request_denied", request=asked.id, reason=denial.value)
            return self.turned(asked, self.busy())
        runtime = self.runtime
        if asked.id in runtime.exchanges:
            return self.turned(asked, error_response(409, "this id is in use"))
        if len(runtime.exchanges) >= self.config.max_open:
            return self.turned(asked, self.busy())
        # The client's time runs since its last byte came, not since we came to read it.
        asked = replace(
            asked, time_left=max(timedelta(), asked.time_left - time_since_last_received(request.transport))
        )
        exchange = Exchange(request, asked, body)
        if self.server.stopping or self.server.draining_since is not None:
            exchange.response.force_close()
        return await runtime.serve(exchange, exchange.done)
