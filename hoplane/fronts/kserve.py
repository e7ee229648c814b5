"""Front for the KServe v2 inference protocol over REST, for both clients and endpoints."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import replace
from datetime import timedelta
from itertools import count

import orjson
from aiohttp import web

from hoplane import __version__, log
from hoplane.config import Config
from hoplane.core.events import EndpointsUpdated, Forward, RequestReceived, SettingsReloaded
from hoplane.core.invariants import Violation
from hoplane.decision.interface import ClassSettings, Idempotency, Role, Settings, State, Status
from hoplane.fronts.buffered_sink import REQUEST_ERROR_STATUSES, BufferedSink
from hoplane.fronts.inference_message import JSON_LENGTH_HEADER, is_complete_response, parse_json_part
from hoplane.net.interface import Call, HeadOutcome
from hoplane.net.memory_budget import MemoryLease
from hoplane.net.pool import Pool
from hoplane.net.runtime import Runtime
from hoplane.net.server import (
    DEADLINE_MARGIN,
    Server,
    check_text,
    request_target,
    retry_after_headers,
    subtract_elapsed,
)

MODEL_PATH = re.compile(r"/v2/models/([^/]+)(?:/versions/[^/]+)?(/ready|/infer)?")
LIVENESS_PATH = "/v2/health/live"
FORWARDED_HEADERS = ("Content-Type", JSON_LENGTH_HEADER)
UNPROCESSED_HEADER = "X-Unprocessed"  # as in the platform protocol; v2 itself defines no such header
# Of the errors of the request itself, these are transient.
TRANSIENT_STATUSES = (408, 429)
METADATA_TIMEOUT = timedelta(seconds=1)
MAX_METADATA_BYTES = 256 * 1024  # of a model
MAX_KEY_LENGTH = 256
MAX_TIME_LEFT = timedelta(hours=1)


def error_response(
    status: int, text: str, retry_after: timedelta | None = None, close: bool = False
) -> web.Response:
    """Return an error response in the v2 format."""
    response = web.Response(
        status=status,
        headers=retry_after_headers(retry_after),
        body=orjson.dumps({"error": text}),
        content_type="application/json",
    )
    if close:
        response.force_close()
    return response


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(status=status, body=orjson.dumps(value), content_type="application/json")


def get_parameter(parameters: dict, name: str, kind: type, default: object) -> object:
    """Return a parameter of the request. Raises ValueError if its type or range is wrong."""
    value = parameters.get(name, default)
    if value is default:
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"parameters.{name}: must be of the type {kind.__name__}")
    if kind is str and len(value) > MAX_KEY_LENGTH:  # bounds the router's tables, which hold keys for minutes
        raise ValueError(f"parameters.{name}: is at most {MAX_KEY_LENGTH} characters")
    if kind is int and not 0 <= value < 10**9:
        raise ValueError(f"parameters.{name}: is out of range")
    return value


def parse_request(
    request_id: str, document: dict, body_size: int, classes: Mapping[str, ClassSettings]
) -> RequestReceived:
    """Parse an inference request. Its `parameters` carry the fields that the core needs."""
    parameters = document.get("parameters", {})
    if not isinstance(parameters, dict):
        raise ValueError("parameters: must be an object")
    if not isinstance(document.get("inputs"), list):
        raise ValueError("inputs: must be a list")
    class_name = get_parameter(parameters, "service_class", str, next(iter(classes)))
    if class_name not in classes:
        raise ValueError("parameters.service_class: is not a class of this service")
    cls, id = classes[class_name], document.get("id")
    if id is not None and (not isinstance(id, str) or not 0 < len(id) <= 256):
        raise ValueError("id: must be a text of 1 to 256 characters")
    if id is None and cls.effect is not Idempotency.SAFE:
        raise ValueError(f"id: is needed, as requests of the class {class_name} must not run twice")
    time_left = timedelta(
        milliseconds=get_parameter(parameters, "time_left_ms", int, cls.deadline // 1_000_000)
    )
    return RequestReceived(
        request_id,
        class_name,
        get_parameter(parameters, "prompt_len", int, body_size // 4),
        get_parameter(parameters, "max_out", int, 256),
        max(timedelta(), min(time_left, MAX_TIME_LEFT) - DEADLINE_MARGIN),
        get_parameter(parameters, "session", str, None),
        get_parameter(parameters, "prefix", str, None),
        get_parameter(parameters, "prefix_len", int, 0),
        None,
        get_parameter(parameters, "repeat", bool, False),
        idempotency_key=None if cls.effect is Idempotency.SAFE else id,
    )


def classify_response(status: int, headers: Mapping[str, str]) -> HeadOutcome:
    """Return the outcome that a response's head implies. After `Status.ERROR` the request may have run."""
    if headers.get(UNPROCESSED_HEADER) == "1":
        return HeadOutcome(Status.FULL)
    if status == 200 or (status in REQUEST_ERROR_STATUSES and status not in TRANSIENT_STATUSES):
        return HeadOutcome(None)
    return HeadOutcome(Status.ERROR)


class Exchange:
    """A client's request over the v2 protocol."""

    def __init__(self, request: web.BaseRequest, received: RequestReceived, body: bytes) -> None:
        self.received, self.body, self.path = received, body, request_target(request)
        self.headers = {name: request.headers[name] for name in FORWARDED_HEADERS if name in request.headers}
        self.sink, self.connection = (
            BufferedSink(error_response(502, "the answer broke off")),
            request.protocol,
        )

    @property
    def disconnected(self) -> bool:
        return self.connection.disconnected

    def call(self, forward: Forward) -> Call:
        return Call("POST", self.path, self.headers, self.body)

    def time_headers(self, remaining: timedelta) -> Mapping[str, str]:
        return {}

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> HeadOutcome:
        self.sink.status = status
        self.sink.headers = {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
        return classify_response(status, headers)

    def read_tail(self, tail: bytes) -> tuple[int, dict[str, float]]:
        return self.received.prefix_tokens, {}  # v2 endpoints do not report cached tokens

    def refuse(self, retry_after: timedelta | None) -> None:
        self.sink.set_response(error_response(503, "refused: try again later", retry_after))

    def fail(self, duplicate: bool) -> None:
        text = (
            "this id is running or may have run" if duplicate else "failed: it may have run, or time is over"
        )
        self.sink.set_response(error_response(409 if duplicate else 502, text))


class KServe:
    """Front for v2 clients. Each model is the cluster of the same name and has its own runtime."""

    def __init__(self, config: Config, pool: Pool) -> None:
        self.config, self.pool = config, pool
        self.classes = {cls.name: cls for cls in config.settings.classes}
        self.server = Server(config, self.handle, error_response)
        self.server.http_server.report_violation = self.report_violation
        self.models: dict[str, Runtime] = {}
        self.request_numbers = count(1)

    def report_violation(self, violation: Violation) -> None:
        """Record a violation on a client's connection. It belongs to no model, so the first one counts it."""
        for runtime in self.runtimes[:1]:
            runtime.report_violation(violation)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings to requests that arrive from now on; earlier ones keep the old settings."""
        self.classes = {cls.name: cls for cls in settings.classes}
        self.config = replace(self.config, settings=settings)
        for runtime in self.runtimes:
            runtime.feed(SettingsReloaded(settings))

    def feed(self, name: str, update: EndpointsUpdated) -> None:
        """Apply an update of a cluster's endpoints; a cluster seen for the first time is a new model."""
        if name not in self.models:
            self.models[name] = Runtime(self.config, self.pool, LIVENESS_PATH)
        self.models[name].feed(update)

    def overload_response(self, reason: str) -> web.Response:
        """Return the refusal of load shedding; it closes the connection. The log names the reason."""
        log.write_event_limited("request_rejected", reason=reason)
        return error_response(503, "too much at once", self.refusal_retry_after, close=True)

    @property
    def refusal_retry_after(self) -> timedelta | None:
        """Retry-After of the front's own refusals; None if the settings do not allow it."""
        return timedelta(seconds=1) if self.config.settings.retry_after else None

    @property
    def runtimes(self) -> list[Runtime]:
        """The runtimes of all models."""
        return list(self.models.values())

    @staticmethod
    def is_ready(runtime: Runtime) -> bool:
        """Return whether a live endpoint can generate responses."""
        roles = {kind.name: kind.role for kind in runtime.config.settings.kinds}
        endpoints = runtime.state.fleet.values()
        return any(
            endpoint.state is State.LIVE and roles[endpoint.kind] is not Role.READ for endpoint in endpoints
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        path, match = request.path, MODEL_PATH.fullmatch(request.path)
        infer = match is not None and match[2] == "/infer"
        if match is None and path not in ("/v2", "/v2/", LIVENESS_PATH, "/v2/health/ready"):
            return error_response(404, "unknown path", close=True)
        if request.method != ("POST" if infer else "GET"):
            return error_response(405, "only POST" if infer else "only GET", close=True)
        if match is None:
            return self.server_info(path)
        runtime = self.models.get(match[1])
        if runtime is None:
            return error_response(404, f"unknown model {match[1]}")
        if match[2] == "/ready":
            ready = self.is_ready(runtime)
            return json_response({"name": match[1], "ready": ready}, 200 if ready else 503)
        if not infer:
            return await self.metadata(runtime, request_target(request))
        body_size = self.server.body_size(request)
        if not self.server.bodies.reserve(body_size):
            return self.overload_response("memory for bodies")
        try:
            return await self.infer(runtime, request)
        finally:
            self.server.bodies.release(body_size)

    def server_info(self, path: str) -> web.Response:
        """Answer a liveness, readiness or metadata call about the whole server."""
        if path.endswith("/live"):
            return json_response({"live": True})
        if path.endswith("/ready"):
            ready = self.server.ready and any(map(self.is_ready, self.models.values()))
            return json_response({"ready": ready}, 200 if ready else 503)
        return json_response(
            {"name": "hoplane", "version": __version__, "extensions": ["binary_tensor_data"]}
        )

    async def metadata(self, runtime: Runtime, path: str) -> web.Response:
        """Relay the model's metadata from the first endpoint that answers completely."""
        lease = MemoryLease(self.pool.response_memory)
        if not lease.extend(MAX_METADATA_BYTES):
            return self.overload_response("memory for responses")
        try:
            return await self.relay_metadata(runtime, path)
        finally:
            lease.release()

    async def relay_metadata(self, runtime: Runtime, path: str) -> web.Response:
        """Ask one endpoint after the other for the model's metadata, and return what it answers."""
        for endpoint in list(runtime.state.fleet.values()):
            if endpoint.state is not State.LIVE:
                continue
            response = await self.pool.get(endpoint.address, path, METADATA_TIMEOUT, MAX_METADATA_BYTES)
            if response and (response.framed or is_complete_response({}, response.body, framed=False)):
                return web.Response(
                    status=response.status, body=response.body, content_type="application/json"
                )
        return error_response(503, "no endpoint tells of this model", self.refusal_retry_after)

    async def infer(self, runtime: Runtime, request: web.BaseRequest) -> web.StreamResponse:
        """Accept an inference request and wait for its final answer."""
        body = await self.server.read(request)
        if isinstance(body, web.Response):
            return error_response(body.status, body.text.strip(), close=True)
        try:
            received = self.parse_inference(request, body)
        except ValueError as error:
            return error_response(400, str(error), close=True)
        if len(runtime.exchanges) >= self.config.max_open:
            return self.overload_response("open requests")
        if denial := self.server.may_start():
            log.write_event_limited("request_denied", request=received.id, reason=denial.value)
            return error_response(503, "the server is stopping", self.refusal_retry_after, close=True)
        exchange = Exchange(request, subtract_elapsed(received, request), body)
        try:
            return await runtime.serve(exchange, exchange.sink.done)
        except BaseException:
            exchange.sink.release_memory()
            raise

    def parse_inference(self, request: web.BaseRequest, body: bytes) -> RequestReceived:
        """Parse a request. The objects of its document, much larger than the body, are not kept."""
        check_text(request.headers, FORWARDED_HEADERS)
        document = parse_json_part(request.headers, body)
        return parse_request(str(next(self.request_numbers)), document, len(body), self.classes)
