"""The KServe v2 inference protocol over REST: for clients that speak it and endpoints that do."""

from __future__ import annotations

import asyncio
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
from hoplane.decision.interface import ClassSettings, Effect, Role, Settings, State, Status
from hoplane.net.interface import Call, HeadOutcome
from hoplane.net.pool import Pool
from hoplane.net.runtime import Runtime
from hoplane.net.server import DEADLINE_MARGIN, Server, request_target, retry_after_headers

MODEL = re.compile(r"/v2/models/([^/]+)(?:/versions/[^/]+)?(/ready|/infer)?")
LIVE = "/v2/health/live"
JSON_SIZE = "Inference-Header-Content-Length"  # how much of a body is JSON, where tensors follow in binary
KEPT_HEADERS = ("Content-Type", JSON_SIZE)
NOT_RUN = "X-Unprocessed"  # as on the platform; v2 itself has no word for it
PASSED = range(400, 500)  # the endpoint's own word on the request, which another would repeat
NOT_PASSED = (408, 429)
ASK_WAIT = timedelta(seconds=1)
KEY_MOST = 256
LONGEST = timedelta(hours=1)


def problem(status: int, text: str, pause: timedelta | None = None, close: bool = False) -> web.Response:
    """Give an error as v2 words it."""
    response = web.Response(
        status=status,
        headers=retry_after_headers(pause),
        body=orjson.dumps({"error": text}),
        content_type="application/json",
    )
    if close:
        response.force_close()
    return response


def answer(value: object, status: int = 200) -> web.Response:
    """Give an answer in JSON."""
    return web.Response(status=status, body=orjson.dumps(value), content_type="application/json")


def json_part(headers: Mapping[str, str], body: bytes) -> object:
    """Give the JSON of a body that may go on in binary; a ValueError says what is wrong."""
    size = headers.get(JSON_SIZE, str(len(body)))
    if not (size.isascii() and size.isdecimal()) or int(size) > len(body):
        raise ValueError(f"{JSON_SIZE}: must be at most the body's length")
    read = orjson.loads(body[: int(size)])
    if not isinstance(read, dict):
        raise ValueError("the body must be a JSON object")
    return read


def fact(told: dict, name: str, kind: type, default: object) -> object:
    """Give one of the request's parameters, checked."""
    value = told.get(name, default)
    if value is default:
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"parameters.{name}: must be of the type {kind.__name__}")
    if kind is str and len(value) > KEY_MOST:  # guards the module's tables, which keep them for minutes
        raise ValueError(f"parameters.{name}: is at most {KEY_MOST} characters")
    if kind is int and not 0 <= value < 10**9:
        raise ValueError(f"parameters.{name}: is out of range")
    return value


def read_asked(number: str, read: dict, size: int, classes: Mapping[str, ClassSettings]) -> RequestReceived:
    """Translate an inference request; its parameters carry what the core needs to know."""
    told = read.get("parameters", {})
    if not isinstance(told, dict):
        raise ValueError("parameters: must be an object")
    if not isinstance(read.get("inputs"), list):
        raise ValueError("inputs: must be a list")
    name = fact(told, "service_class", str, next(iter(classes)))
    if name not in classes:
        raise ValueError("parameters.service_class: is not a class of this service")
    cls, id = classes[name], read.get("id")
    if id is not None and (not isinstance(id, str) or not 0 < len(id) <= 256):
        raise ValueError("id: must be a text of 1 to 256 characters")
    if id is None and cls.effect is not Effect.SAFE:
        raise ValueError(f"id: is needed, as requests of the class {name} must not run twice")
    patience = timedelta(milliseconds=fact(told, "time_left_ms", int, cls.deadline // 1_000_000))
    return RequestReceived(
        number,
        name,
        fact(told, "prompt_len", int, size // 4),
        fact(told, "max_out", int, 256),
        max(timedelta(), min(patience, LONGEST) - DEADLINE_MARGIN),
        fact(told, "session", str, None),
        fact(told, "prefix", str, None),
        fact(told, "prefix_len", int, 0),
        None,
        fact(told, "repeat", bool, False),
        idempotency_key=None if cls.effect is Effect.SAFE else id,
    )


def read_head(status: int, headers: Mapping[str, str]) -> HeadOutcome:
    """Tell what an endpoint's answer means; what is not known for sure may have run."""
    if headers.get(NOT_RUN) == "1":
        return HeadOutcome(Status.FULL)
    if status == 200 or (status in PASSED and status not in NOT_PASSED):
        return HeadOutcome(None)
    return HeadOutcome(Status.ERROR)


class WholeSink:
    """Passes an answer on once it is whole."""

    buffered = True

    def __init__(self) -> None:
        self.done: asyncio.Future = asyncio.get_running_loop().create_future()
        self.status, self.headers, self.data = 200, {}, b""

    def is_complete(self, data: bytes) -> bool:
        """Tell whether an answer is all there: one that ends with its connection tells no length."""
        try:
            json_part(self.headers, data)
        except ValueError:
            return False
        return True

    async def start(self) -> None:
        pass

    async def write(self, data: bytes) -> None:
        self.data = data

    async def finish(self) -> None:
        self.settle(web.Response(status=self.status, headers=self.headers, body=self.data))

    def abort(self) -> None:
        self.settle(problem(502, "the answer broke off"))

    def settle(self, response: web.Response) -> None:
        if not self.done.done():
            self.done.set_result(response)


class Exchange:
    """One client's request on this front."""

    def __init__(self, request: web.BaseRequest, received: RequestReceived, body: bytes) -> None:
        self.received, self.body, self.path = received, body, request_target(request)
        self.headers = {name: request.headers[name] for name in KEPT_HEADERS if name in request.headers}
        self.sink, self.caller = WholeSink(), request.protocol

    @property
    def disconnected(self) -> bool:
        return self.caller.disconnected

    def call(self, forward: Forward) -> Call:
        return Call("POST", self.path, self.headers, self.body)

    def time_headers(self, left: timedelta) -> Mapping[str, str]:
        return {}

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> HeadOutcome:
        self.sink.status = status
        self.sink.headers = {name: headers[name] for name in KEPT_HEADERS if name in headers}
        return read_head(status, headers)

    def read_tail(self, tail: bytes) -> tuple[int, dict[str, float]]:
        return self.received.prefix_tokens, {}  # v2 endpoints do not tell what they found kept

    def refuse(self, pause: timedelta | None) -> None:
        self.sink.settle(problem(503, "refused: try again later", pause))

    def fail(self, clash: bool) -> None:
        text = "this id is running or may have run" if clash else "failed: it may have run, or time is over"
        self.sink.settle(problem(409 if clash else 502, text))


class KServe:
    """The front for v2 clients: one conductor for each model, which is a cluster of that name."""

    def __init__(self, config: Config, pool: Pool) -> None:
        self.config, self.pool = config, pool
        self.classes = {cls.name: cls for cls in config.settings.classes}
        self.server = Server(config, self.handle, problem)
        self.server.http_server.report_violation = self.report_violation
        self.models: dict[str, Runtime] = {}
        self.numbers = count(1)

    def report_violation(self, violation: Violation) -> None:
        """Count what should never happen to a client's connection, which belongs to no model."""
        for runtime in self.runtimes[:1]:
            runtime.report_violation(violation)

    def retune(self, settings: Settings) -> None:
        """Take requests of the new classes from now on; those taken keep their rules."""
        self.classes = {cls.name: cls for cls in settings.classes}
        self.config = replace(self.config, settings=settings)
        for runtime in self.runtimes:
            runtime.feed(SettingsReloaded(settings))

    def feed(self, name: str, listed: EndpointsUpdated) -> None:
        """Take a cluster's list; a cluster seen for the first time is a new model."""
        if name not in self.models:
            self.models[name] = Runtime(self.config, self.pool, LIVE)
        self.models[name].feed(listed)

    @property
    def later(self) -> timedelta | None:
        """Give what a refusal of the front's own tells its client, None where the settings allow nothing."""
        return timedelta(seconds=1) if self.config.settings.retry_after else None

    @property
    def runtimes(self) -> list[Runtime]:
        """Give the conductors."""
        return list(self.models.values())

    @staticmethod
    def ready(runtime: Runtime) -> bool:
        """Tell whether some endpoint may answer."""
        roles = {kind.name: kind.role for kind in runtime.config.settings.kinds}
        fleet = runtime.state.fleet.values()
        return any(e.state is State.LIVE and roles[e.kind] is not Role.READ for e in fleet)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        path, found = request.path, MODEL.fullmatch(request.path)
        infer = found is not None and found[2] == "/infer"
        if found is None and path not in ("/v2", "/v2/", LIVE, "/v2/health/ready"):
            return problem(404, "unknown path", close=True)
        if request.method != ("POST" if infer else "GET"):
            return problem(405, "only POST" if infer else "only GET", close=True)
        if found is None:
            return self.about(path)
        runtime = self.models.get(found[1])
        if runtime is None:
            return problem(404, f"unknown model {found[1]}")
        if found[2] == "/ready":
            ready = self.ready(runtime)
            return answer({"name": found[1], "ready": ready}, 200 if ready else 503)
        if not infer:
            return await self.metadata(runtime, request_target(request))
        body_size = self.server.body_size(request)
        if not self.server.bodies.reserve(body_size):
            return problem(503, "too much at once", self.later, close=True)
        try:
            return await self.infer(runtime, request)
        finally:
            self.server.bodies.release(body_size)

    def about(self, path: str) -> web.Response:
        """Tell of the server as a whole."""
        if path.endswith("/live"):
            return answer({"live": True})
        if path.endswith("/ready"):
            ready = self.server.ready and any(map(self.ready, self.models.values()))
            return answer({"ready": ready}, 200 if ready else 503)
        return answer({"name": "hoplane", "version": __version__, "extensions": ["binary_tensor_data"]})

    async def metadata(self, runtime: Runtime, path: str) -> web.Response:
        """Pass on what an endpoint tells of the model."""
        for endpoint in list(runtime.state.fleet.values()):
            if endpoint.state is not State.LIVE:
                continue
            if got := await self.pool.get(endpoint.address, path, ASK_WAIT):
                return web.Response(status=got[0], body=got[1], content_type="application/json")
        return problem(503, "no endpoint tells of this model", self.later)

    async def infer(self, runtime: Runtime, request: web.BaseRequest) -> web.StreamResponse:
        """Take a request in and wait for its final answer."""
        body = await self.server.read(request)
        if isinstance(body, web.Response):
            return problem(body.status, body.text.strip(), close=True)
        try:
            read = json_part(request.headers, body)
            asked = read_asked(str(next(self.numbers)), read, len(body), self.classes)
        except ValueError as error:
            return problem(400, str(error), close=True)
        if len(runtime.exchanges) >= self.config.max_open:
            return problem(503, "too much at once", self.later, close=True)
        if denial := self.server.may_start():
            log.write_event_limited("request_denied", request=asked.id, reason=denial.value)
            return problem(503, "the server is stopping", self.later, close=True)
        exchange = Exchange(request, asked, body)
        return await runtime.serve(exchange, exchange.sink.done)
