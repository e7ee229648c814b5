"""Front for the platform's protocol: HTTP/1.1 with metadata in headers, and responses as SSE streams."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Container, Mapping
from contextlib import suppress
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
from hoplane.decision.interface import ClassSettings, Idempotency, Settings, State, Status
from hoplane.fronts.stream_sink import AbortableResponse, StreamSink
from hoplane.net.interface import Call, HeadOutcome
from hoplane.net.runtime import Runtime
from hoplane.net.server import (
    DEADLINE_MARGIN,
    Server,
    check_text,
    error_response,
    request_target,
    retry_after_headers,
    subtract_elapsed,
)
from hoplane.net.shared_ids import SharedIds

CHAT_PATH, READINESS_PATH = "/v1/chat/completions", "/health/ready"
LIVENESS_PATH, STATS_PATH = "/health/live", "/stats"  # at endpoints
ID_HEADER, CLASS_HEADER, SESSION_HEADER = "X-Correlation-Id", "X-Service-Class", "X-Session-Key"
TENANT_HEADER = "X-Account"  # the tenant, if the settings list tenants
TIME_LEFT_HEADER, FACTS_HEADER, REPEAT_HEADER = "X-Time-Left-Ms", "X-Facts", "X-Repeat"
LOAD_HEADER, UNPROCESSED_HEADER = "X-Backend-Load", "X-Unprocessed"
FORWARDED_HEADERS = ("Content-Type", "Idempotency-Key")  # endpoints discard duplicates by the latter
STATES_BY_STATUS = {"Ready": State.LIVE, "Terminating": State.DRAINING, "Gone": State.GONE}
ID_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")
MAX_KEY_LENGTH = 256
CACHED_TOKENS_PATTERN = re.compile(rb'"cached_tokens"\s*:\s*(\d{1,9})')
LOAD_REPORT_PATTERN = re.compile(
    rb"^: ?" + LOAD_HEADER.encode() + rb": ?([^\r\n]*)", re.MULTILINE | re.IGNORECASE
)


def reservation_path(id: str) -> str:
    """Return the path of the calls that make and release a reservation."""
    return f"/v1/holds/{id}"


def probe_path(settings: Settings) -> str:
    """Return the path of a health probe: the one that reports load, if load reports are in use."""
    return STATS_PATH if settings.waiting_tokens_field else LIVENESS_PATH


def parse_endpoint_list(document: dict) -> EndpointsUpdated:
    """Parse discovery's endpoint list. A malformed entry is logged and its endpoint stays as it was.

    One malformed entry must not discard the others, which may contain a drain."""
    entries = document.get("endpoints")
    if not isinstance(entries, list):
        raise ValueError("the list is malformed: endpoints must be a list")
    endpoints, unreadable = [], []
    for index, entry in enumerate(entries):
        try:
            endpoints.append(parse_endpoint(entry))
        except (AttributeError, ConfigError, KeyError, TypeError, ValueError, OverflowError) as error:
            name = entry.get("name") if isinstance(entry, dict) else None
            unreadable.append(str(name))
            log.write_event_limited("list_entry_bad", entry=index, endpoint=name, error=repr(error))
    return EndpointsUpdated(tuple(endpoints), bool(document.get("snapshot")), tuple(unreadable))


def parse_endpoint(entry: dict) -> Endpoint:
    """Parse an entry of the list. An endpoint with an unknown status gets no new requests: it drains."""
    status = get_text(entry, "status")
    if status not in STATES_BY_STATUS:
        log.write_event_limited(
            "list_entry_bad", endpoint=entry["name"], error=f"status {status!r} is not known: drains"
        )
    return Endpoint(
        get_text(entry, "name"),
        get_text(entry, "address"),
        get_text(entry, "zone"),
        get_text(entry, "type"),
        int(entry["group"]),
        STATES_BY_STATUS.get(status, State.DRAINING),
        float(entry.get("weight", 1.0)),
        timedelta(milliseconds=entry.get("since_ms", 0)),
    )


def parse_load_report(text: str | bytes) -> dict[str, float]:
    """Parse a load report; values that are not finite numbers are skipped."""
    load = {}
    for pair in (text if isinstance(text, str) else text.decode("latin-1")).split(","):
        name, _, value = pair.strip().partition("=")
        with suppress(ValueError):
            if isfinite(number := float(value)):
                load[name] = number
    return load


def parse_request(
    headers: Mapping[str, str], classes: Mapping[str, ClassSettings], tenants: Container[str] = ()
) -> RequestReceived:
    """Parse a request's headers. Raises ValueError if one is missing or malformed.

    A request of a tenant that the settings do not list is served, but counts against no tenant's share."""
    check_text(headers, (SESSION_HEADER, FACTS_HEADER, *FORWARDED_HEADERS))
    id, cls = headers.get(ID_HEADER, ""), headers.get(CLASS_HEADER, "")
    if not ID_PATTERN.fullmatch(id):
        raise ValueError(f"{ID_HEADER}: is missing or malformed")
    if cls not in classes:
        raise ValueError(f"{CLASS_HEADER}: is not a class of this service")
    time_left_ms = headers.get(TIME_LEFT_HEADER, "")
    if not (time_left_ms.isascii() and time_left_ms.isdecimal()) or len(time_left_ms) > 9:
        raise ValueError(f"{TIME_LEFT_HEADER}: must be whole milliseconds")
    pairs = (pair.strip().partition("=") for pair in headers.get(FACTS_HEADER, "").split(","))
    facts = {name: value for name, _, value in pairs if name}
    lengths = {}
    for name in ("prompt_len", "prefix_len", "max_out"):
        value = facts.get(name, "0" if name == "prefix_len" else "")
        if not (value.isascii() and value.isdecimal()) or len(value) > 9:
            raise ValueError(f"{FACTS_HEADER}: {name} must be a whole number")
        lengths[name] = int(value)
    session, prefix = headers.get(SESSION_HEADER, ""), facts.get("prefix", "")
    # Bounds the router's tables, which hold keys for minutes.
    if max(len(session), len(prefix)) > MAX_KEY_LENGTH:
        raise ValueError(f"{SESSION_HEADER} and prefix: are at most {MAX_KEY_LENGTH} characters")
    repeat, tenant = headers.get(REPEAT_HEADER), headers.get(TENANT_HEADER)
    return RequestReceived(
        id,
        cls,
        lengths["prompt_len"],
        lengths["max_out"],
        max(timedelta(), timedelta(milliseconds=int(time_left_ms)) - DEADLINE_MARGIN),
        session or None,
        prefix or None,
        lengths["prefix_len"],
        tenant if tenant in tenants else None,
        repeat is not None and repeat != "again",
        repeat == "again",
        idempotency_key=None if classes[cls].effect is Idempotency.SAFE else id,
    )


def classify_response(status: int, headers: Mapping[str, str], body: bytes) -> HeadOutcome:
    """Return the outcome that a response's head implies. After `Status.ERROR` the request may have run."""
    load = parse_load_report(headers.get(LOAD_HEADER, ""))
    unprocessed = headers.get(UNPROCESSED_HEADER) == "1"
    if status == 200:
        return HeadOutcome(None, 0, load)
    if status == 202:
        return HeadOutcome(Status.MISS, parse_cached_tokens(body), load)
    if unprocessed and status in (410, 503, 504):
        return HeadOutcome(Status.FULL, int(status == 410), load)
    return HeadOutcome(Status.ERROR, 0, load)


def parse_cached_tokens(data: bytes) -> int:
    """Return the last reported number of cached tokens, 0 if there is none."""
    matches = CACHED_TOKENS_PATTERN.findall(data)
    return int(matches[-1]) if matches else 0


class Exchange:
    """A client's request over the platform's protocol."""

    def __init__(self, request: web.BaseRequest, received: RequestReceived, body: bytes) -> None:
        self.received, self.body = received, body
        self.method, self.path = request.method, request_target(request)
        self.headers = {"Content-Type": "application/json"}
        self.headers.update(
            {name: request.headers[name] for name in FORWARDED_HEADERS if name in request.headers}
        )
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
        return Call(self.method, self.path, {**self.headers, ID_HEADER: self.received.id}, self.body)

    def time_headers(self, remaining: timedelta) -> Mapping[str, str]:
        return {TIME_LEFT_HEADER: str(max(1, remaining // timedelta(milliseconds=1)))}

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> HeadOutcome:
        return classify_response(status, headers, body)

    def read_tail(self, tail: bytes) -> tuple[int, dict[str, float]]:
        """Parse a stream's end: the number of cached tokens, and the load report in an SSE comment."""
        lines = LOAD_REPORT_PATTERN.findall(tail)
        return parse_cached_tokens(tail), parse_load_report(lines[-1]) if lines else {}

    def refuse(self, retry_after: timedelta | None) -> None:
        self.set_response(
            web.Response(status=503, headers=retry_after_headers(retry_after), text="refused\n")
        )

    def fail(self, duplicate: bool) -> None:
        self.set_response(
            error_response(409, "this id is in use") if duplicate else error_response(502, "failed")
        )

    def set_response(self, response: web.Response) -> None:
        if not self.done.done():
            self.done.set_result(response)


class Platform:
    """Front for the platform's clients."""

    def __init__(self, config: Config, runtime: Runtime, shared_ids: SharedIds | None = None) -> None:
        self.config, self.runtime, self.shared_ids = config, runtime, shared_ids
        if shared_ids is not None:
            runtime.release_key = shared_ids.release
        self.set_known_names(config.settings)
        self.server, self.runtimes = Server(config, self.handle, error_response), [runtime]
        self.server.interrupt_requests = self.interrupt_newest_requests
        self.server.http_server.report_violation = runtime.report_violation

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        if request.path == READINESS_PATH:
            return web.Response(status=200 if self.server.ready else 503)
        if request.path != CHAT_PATH:
            return error_response(404, "unknown path", close=True)
        if request.method != "POST":
            return error_response(405, "only POST", close=True)
        try:
            received = parse_request(request.headers, self.classes, self.tenants)
        except ValueError as error:
            return error_response(400, str(error), close=True)
        body_size = self.server.body_size(request)
        if not self.server.bodies.reserve(body_size):
            return self.report_rejection(received, self.overload_response("memory for bodies"))
        try:
            return await self.chat(request, received)
        finally:
            self.server.bodies.release(body_size)

    def claim_id(self, received: RequestReceived) -> bool:
        """Accept the id of a request that must not run twice, unless another process has accepted it."""
        key = received.idempotency_key
        return key is None or self.shared_ids is None or self.shared_ids.claim(key)

    def interrupt_newest_requests(self, fraction: float) -> None:
        """Interrupt a fraction of the open requests, the newest first, because they would run longest."""
        ids = list(self.runtime.exchanges)
        for id in ids[len(ids) - ceil(fraction * len(ids)) :]:
            self.runtime.feed(RequestInterrupted(id))

    def report_rejection(self, received: RequestReceived, response: web.Response) -> web.Response:
        """Report to the core that the front answers a request itself, and return that response."""
        self.runtime.feed(RequestRejectedAtFront(received.class_name, response.status in (429, 503)))
        return response

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to requests that arrive from now on; earlier ones keep the old settings."""
        self.set_known_names(settings)
        self.runtime.feed(SettingsReloaded(settings))

    def set_known_names(self, settings: Settings) -> None:
        """Set the classes and tenants that request headers may name."""
        self.classes = {cls.name: cls for cls in settings.classes}
        self.tenants = {tenant.name for tenant in settings.tenants}

    def overload_response(self, reason: str) -> web.Response:
        """Return the refusal of load shedding; it closes the connection. The log names the reason."""
        log.write_event_limited("request_rejected", reason=reason)
        retry_after = timedelta(seconds=1) if self.runtime.state.settings.retry_after else None
        response = web.Response(
            status=503, headers=retry_after_headers(retry_after), text="too much at once\n"
        )
        response.force_close()
        return response

    async def chat(self, request: web.BaseRequest, received: RequestReceived) -> web.StreamResponse:
        """Accept a request and wait for its final answer."""
        body = await self.server.read(request)
        if isinstance(body, web.Response):
            return self.report_rejection(received, body)
        try:
            if not isinstance(orjson.loads(body), dict):
                return self.report_rejection(
                    received, error_response(400, "the body must be a JSON object", close=True)
                )
        except orjson.JSONDecodeError:
            return self.report_rejection(received, error_response(400, "the body is not JSON", close=True))
        if denial := self.server.may_start():
            log.write_event_limited("request_denied", request=received.id, reason=denial.value)
            return self.report_rejection(received, self.overload_response(denial.value))
        runtime = self.runtime
        if received.id in runtime.exchanges:
            return self.report_rejection(received, error_response(409, "this id is in use"))
        if len(runtime.exchanges) >= self.config.max_open:
            return self.report_rejection(received, self.overload_response("open requests"))
        try:
            if not self.claim_id(received):
                return self.report_rejection(received, error_response(409, "this id may have run"))
        except OSError as error:
            log.write_event_limited("ids_unwritten", error=str(error))
            return self.report_rejection(received, self.overload_response("the ids cannot be shared"))
        received = subtract_elapsed(received, request)
        exchange = Exchange(request, received, body)
        if self.server.stopping or self.server.draining_since is not None:
            exchange.response.force_close()
        return await runtime.serve(exchange, exchange.done)
