"""Performs the reducer's effects and feeds events back to it, on one event loop."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import aiohttp

from hoplane import log
from hoplane.config import MAX_BODY_BYTES, Config
from hoplane.core import events as ev
from hoplane.core.idempotency import IdempotencyStore
from hoplane.core.invariants import Invariants, Violation
from hoplane.core.permits import Denial
from hoplane.core.reducer import iterate_effects
from hoplane.core.state import ConductorState
from hoplane.core.statistics import collect
from hoplane.core.time_conversion import to_ns
from hoplane.core.timers import Timer
from hoplane.decision.interface import SERVER_NOT_AT_FAULT, Status
from hoplane.decision.router import Router
from hoplane.net.clock import Clock
from hoplane.net.endpoint_connection import (
    HEAD_SILENCE_TIMEOUT,
    MalformedResponseError,
    ResponseLimits,
    StaleConnectionError,
)
from hoplane.net.interface import Exchange
from hoplane.net.pool import Pool, SendDeniedError, SendGate, has_framing, is_local_failure
from hoplane.net.relay import Relay, read_short_response
from hoplane.net.relay_result import log_malformed
from hoplane.net.releases import Releases
from hoplane.net.start_times import StartTimes

# An attempt cancelled after this makes idle connections to its endpoint suspect.
UNRESPONSIVE_AFTER = timedelta(milliseconds=500)
# Endpoints answer probes ahead of their queue, so a later answer means the machine is unreachable.
PROBE_TIMEOUT = timedelta(milliseconds=300)
# An endpoint that knows no read for the reservation answers after 0.3 s.
RESERVATION_TIMEOUT = timedelta(seconds=1)
RESERVED_BY_HTTP_STATUS = {200: True, 409: False}  # after any other status, a place may be held or not
# A request is answered this long after its deadline even if an internal error lost its answer.
OVERDUE_GRACE = timedelta(milliseconds=250)


# Names of counters that operators' tools read, so they stay when events or effects are renamed: "asked" is a
# request received, "holds" are reservations.
COUNTER_NAMES: dict[type, Callable[..., str]] = {
    ev.RequestReceived: lambda each: "asked_again" if each.retry else "asked",
    ev.Forward: lambda each: "reads" if each.is_read else "writes",
    ev.AttemptEnded: lambda each: f"ended_{each.status.value}",
    ev.Reserve: lambda each: "holds",
    ev.ReservationFinished: lambda each: (
        "holds_" + {True: "held", False: "none", None: "unknown"}[each.reserved]
    ),
    ev.Probe: lambda each: "probes",
    ev.Release: lambda each: "releases",
    ev.Refuse: lambda each: "refused",
    ev.Fail: lambda each: "failed",
}


def no_reservation_path(id: str) -> None:
    """Return no path: these endpoints hold no reservations."""


def no_load_report(body: bytes) -> dict[str, float]:
    """Return an empty load report: these endpoints send none."""
    return {}


class Runtime:
    """One conductor's state, clock, connections and outstanding work."""

    def __init__(
        self,
        config: Config,
        pool: Pool,
        probe_path: str,
        reservation_path: Callable[[str], str | None] = no_reservation_path,
        parse_load_report: Callable[[bytes], dict[str, float]] = no_load_report,
    ) -> None:
        self.config, self.pool, self.clock = config, pool, Clock()
        # The section `ledger` of the configuration gives the idempotency store's capacity and retention.
        idempotency_store = IdempotencyStore(config.ledger_most, config.ledger_keep)
        self.state = ConductorState(config.settings, Router(config.settings, config.seed), idempotency_store)
        self.probe_path, self.reservation_path, self.parse_load_report = (
            probe_path,
            reservation_path,
            parse_load_report,
        )
        self.loop = asyncio.get_running_loop()
        self.relay = Relay(pool.response_memory, self.start_response)
        self.exchanges: dict[str, Exchange] = {}
        self.attempts: dict[tuple[str, int], asyncio.Task] = {}
        self.gates: dict[tuple[str, int], SendGate] = {}
        self.tasks: set[asyncio.Task] = set()
        self.timers: dict[Timer, asyncio.TimerHandle] = {}
        self.queue: deque[ev.Event] = deque()
        self.processing = False
        self.releases = Releases(pool, self.state, self.clock, self.release_path, self.report_violation)
        self.start_times = StartTimes()
        self.last_sent: dict[str, datetime] = {}  # time of the last new work for each endpoint
        self.record_outcome: Callable[[str, Status], None] | None = None  # called with each attempt's outcome
        # Charges the budget that the fleet shares for an endpoint in slow start; returns whether the attempt
        # fits. Called as the attempt's bytes are sent, for at-most-once requests with the last byte. Set by
        # `shared/member.py`.
        self.spend_cold_budget: Callable[[ev.Endpoint], bool] = lambda endpoint: True
        # Called with a key that any process may accept again; set where processes share their ids.
        self.release_key: Callable[[str], None] = lambda key: None
        self.effects = {
            ev.Forward: self.forward,
            ev.AbandonAttempt: self.abandon,
            ev.Reserve: self.reserve,
            ev.Probe: self.probe,
            ev.Release: self.start_release,
            ev.Refuse: self.refuse,
            ev.Fail: self.fail,
            ev.SetTimer: self.set_timer,
            ev.CancelTimer: self.cancel_timer,
            ev.ReleaseKey: lambda effect: self.release_key(effect.key),
            ev.WriteLog: self.write_log,
        }

    def feed(self, event: ev.Event) -> None:
        """Process an event and perform its effects; events fed meanwhile are processed after it, in order."""
        self.queue.append(event)
        if self.processing:
            return
        self.processing = True
        try:
            while self.queue:
                self.process(self.queue.popleft())
        finally:
            self.processing = False

    def process(self, event: ev.Event) -> None:
        """Pass an event to the reducer and perform its effects.

        An internal error in the reducer or in an effect affects no other effect or event: it is counted and
        logged, and a request that it concerns is answered at the latest when its deadline passes.
        """
        effects = []
        try:
            if type(event) is ev.EndpointsUpdated:
                event = self.start_times.convert(event, timedelta(seconds=time.time()), self.clock.now())
            self.record_item(event)
            effects.extend(iterate_effects(self.state, self.clock.now(), event))
        except Exception as error:
            self.record_internal_error(Violation.EVENT_FAILED, event, error)
        for effect in effects:
            try:
                self.record_item(effect)
                self.effects[type(effect)](effect)
            except Exception as error:
                self.record_internal_error(Violation.EFFECT_FAILED, effect, error)
                self.report_failed_effect(effect)

    def record_internal_error(
        self, violation: Violation, item: ev.Event | ev.Effect, error: Exception
    ) -> None:
        """Count and log an internal error."""
        self.invariants.record(violation)
        kind, id = item.log_name, getattr(item, "id", None)
        log.write_event_limited("violation", kind=violation.value, of=kind, request=id, error=repr(error))

    def report_failed_effect(self, effect: ev.Effect) -> None:
        """Report the outcome of an effect that failed, so that the router can continue."""
        if isinstance(effect, ev.Forward) and (effect.id, effect.attempt) not in self.attempts:
            self.gates.pop((effect.id, effect.attempt), None)
            self.feed(
                ev.AttemptEnded(
                    effect.id, effect.attempt, Status.CONNECT_FAILED, SERVER_NOT_AT_FAULT, written=False
                )
            )
        elif isinstance(effect, ev.Reserve):
            self.feed(ev.ReservationFinished(effect.id, effect.attempt, False))

    @property
    def invariants(self) -> Invariants:
        """The checks of this conductor's invariants, with their counts."""
        return self.state.invariants

    async def serve(self, exchange: Exchange, final_answer: asyncio.Future):
        """Process a request and return its final answer; a client's disconnect ends it."""
        received = exchange.received
        deadline = self.clock.now() + received.time_left
        self.exchanges[received.id] = exchange
        self.invariants.request_received(received.id, deadline)
        overdue_timer = self.loop.call_at(
            self.clock.loop_time(deadline + OVERDUE_GRACE), self.answer_overdue, exchange
        )
        try:
            self.feed(received)
            response = await final_answer
            self.log_violation(self.invariants.final_answer_given(received.id, self.clock.now()), received.id)
            return response
        except asyncio.CancelledError:
            self.invariants.client_disconnected(received.id)
            self.feed(ev.ClientDisconnected(received.id))
            raise
        finally:
            overdue_timer.cancel()
            del self.exchanges[received.id]
            self.log_violation(self.invariants.handler_ended(received.id), received.id)

    def answer_overdue(self, exchange: Exchange) -> None:
        """Answer a request that is past its deadline without an answer, as some event was lost."""
        id = exchange.received.id
        request = self.state.requests.get(id)
        if request is not None and request.response_started:
            return
        self.report_violation(Violation.ANSWERED_LATE, id)
        exchange.fail(False)
        self.feed(ev.ClientDisconnected(id))

    def report_violation(self, violation: Violation, id: str = "") -> None:
        """Count and log a violation."""
        self.log_violation(self.invariants.record(violation), id)

    def release_path(self, id: str) -> str | None:
        """Return the path of a request's release call, or None where endpoints hold no reservations."""
        return self.reservation_path(id)

    def log_violation(self, violation: Violation | None, id: str) -> None:
        """Log a violation, if there is one; the invariants have counted it already."""
        if violation is not None:
            log.write_event_limited("violation", kind=violation.value, request=id)

    def statistics(self) -> dict[str, object]:
        """Return the core's statistics for the operator."""
        return collect(self.state, to_ns(self.clock.now()))

    def record_item(self, item: ev.Event | ev.Effect) -> None:
        """Count an event or effect by COUNTER_NAMES.

        Also pass attempt outcomes to `record_outcome`.
        """
        if (
            self.record_outcome
            and type(item) is ev.AttemptEnded
            and (request := self.state.requests.get(item.id))
        ):
            endpoint = self.state.fleet.get(request.attempts[item.attempt].server)
            if endpoint is not None:
                self.record_outcome(endpoint.name, item.status)
        if name := COUNTER_NAMES.get(type(item)):
            self.pool.counters[name(item)] += 1

    def start_task(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a task that is awaited during shutdown."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)
        return task

    def task_done(self, task: asyncio.Task) -> None:
        """Log a task's error, which would go unnoticed otherwise."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.write_event("task_broke", error=repr(error))

    async def wait_idle(self) -> None:
        """Wait until no work is outstanding."""
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    # --- effects

    def set_timer(self, effect: ev.SetTimer) -> None:
        self.timers[effect.timer] = self.loop.call_at(
            self.clock.loop_time(effect.at), self.fire_timer, effect.timer
        )

    def fire_timer(self, timer: Timer) -> None:
        self.timers.pop(timer, None)
        self.feed(ev.TimerFired(timer))

    def cancel_timer(self, effect: ev.CancelTimer) -> None:
        if handle := self.timers.pop(effect.timer, None):
            handle.cancel()

    def write_log(self, effect: ev.WriteLog) -> None:
        """Write a log line, with the last send to each of the endpoints that it reports as not live."""
        entry = effect.fields
        if not_live := entry.get("not_live"):
            entry = {**entry, "last_sent": {n: self.last_sent[n] for n in not_live if n in self.last_sent}}
        if len(self.last_sent) > len(self.state.server_ids):  # endpoints that are no longer listed
            self.last_sent = {n: at for n, at in self.last_sent.items() if n in self.state.server_ids}
        log.write_event(effect.event, **entry)

    @staticmethod
    def log_final_answer(event: str, effect: ev.Refuse | ev.Fail) -> None:
        """Log why a request is refused or failed, and how its attempts ended."""
        attempts = [(each.endpoint, each.status and each.status.value) for each in effect.attempts]
        log.write_event_limited(event, request=effect.id, reason=effect.reason, attempts=attempts)

    def refuse(self, effect: ev.Refuse) -> None:
        self.log_final_answer("request_refused", effect)
        if exchange := self.exchanges.get(effect.id):
            exchange.refuse(effect.retry_after)

    def fail(self, effect: ev.Fail) -> None:
        self.log_final_answer("request_failed", effect)
        if exchange := self.exchanges.get(effect.id):
            exchange.fail(effect.duplicate)

    def forward(self, effect: ev.Forward) -> None:
        key = effect.id, effect.attempt
        self.gates[key] = self.make_gate(effect, uses_cold_budget=True)
        task = self.attempts[key] = self.start_task(self.run_attempt(effect, self.exchanges[effect.id]))
        task.add_done_callback(lambda task: self.attempt_done(effect, task))

    def make_gate(self, effect: ev.Forward | ev.Reserve, uses_cold_budget: bool = False) -> SendGate:
        """Return a gate that checks, as a call's bytes are sent, that this is still permitted.

        The rules are in `core/permits.py`. With `uses_cold_budget`, the first byte is charged to the budget
        that the fleet shares for an endpoint in slow start. Conditions are checked again because the attempt
        may have waited for a connection or for a busy event loop; a client's unread close is detected too.
        """
        deadline = self.clock.now() + effect.time_left if isinstance(effect, ev.Forward) else None

        def time_headers() -> Mapping[str, str]:
            """Return the headers with the time left, which is less than when the attempt was decided on."""
            return (
                {}
                if deadline is None
                else self.exchanges[effect.id].time_headers(deadline - self.clock.now())
            )

        def is_permitted() -> bool:
            exchange = self.exchanges.get(effect.id)
            disconnected = exchange is None or exchange.disconnected
            return self.handle_denial(
                effect, self.state.send_denial(effect, self.clock.now(), disconnected, deadline)
            )

        def spend_cold_budget() -> bool:
            if uses_cold_budget and not self.spend_cold_budget(effect.endpoint):
                return self.handle_denial(effect, Denial.OVER_BUDGET)
            self.last_sent[effect.endpoint.name] = datetime.now(UTC)
            return True

        return SendGate(is_permitted, time_headers, spend_cold_budget)

    def start_response(self, effect: ev.Forward) -> bool:
        """Start passing an attempt's response on to its client; return whether that is permitted."""
        if not self.handle_denial(effect, self.state.response_denial(effect.id, effect.attempt)):
            return False
        self.feed(ev.ResponseStarted(effect.id, effect.attempt))
        self.log_violation(self.invariants.response_started(effect.id), effect.id)
        return True

    def handle_denial(self, effect: ev.Forward | ev.Reserve, denial: Denial | None) -> bool:
        """Log a denial, and end the request of a disconnected client; return whether there was no denial."""
        if denial is None:
            return True
        log.write_event_limited(denial.value, request=effect.id, endpoint=effect.endpoint.name)
        if denial is Denial.CLIENT_DISCONNECTED:
            self.feed(ev.ClientDisconnected(effect.id))
        return False

    def abandon(self, effect: ev.AbandonAttempt) -> None:
        if task := self.attempts.get((effect.id, effect.attempt)):
            task.cancel()

    def reserve(self, effect: ev.Reserve) -> None:
        self.start_task(self.run_reservation(effect))

    def probe(self, effect: ev.Probe) -> None:
        self.start_task(self.run_probe(effect))

    def start_release(self, effect: ev.Release) -> None:
        self.start_task(self.release(effect))

    async def release(self, effect: ev.Release) -> None:
        """Make the release calls until an endpoint accepts one; see `Releases.release`."""
        await self.releases.release(effect)

    # --- tasks

    def attempt_done(self, effect: ev.Forward, task: asyncio.Task) -> None:
        """Report an attempt's end; its connection is idle or closed by now.

        This runs also for a task that was cancelled before its first step, whose own code never runs: without
        an outcome, the router would wait forever and reservations would remain.
        """
        key = effect.id, effect.attempt
        del self.attempts[key]
        gate = self.gates.pop(key)
        written = gate.is_set()
        gate.set()
        if task.cancelled():
            ended = ev.AttemptEnded(*key, Status.CANCELLED, written=written)
        elif task.exception():
            ended = ev.AttemptEnded(*key, Status.ERROR, written=written)
        else:
            ended = replace(task.result(), written=written)
        if ended.status not in (Status.OK, Status.MISS):
            log.write_event_limited(
                "attempt_ended",
                request=effect.id,
                attempt=effect.attempt,
                endpoint=effect.endpoint.name,
                status=ended.status.value,
                written=written,
            )
        self.feed(ended)

    def response_limits(self, effect: ev.Forward, exchange: Exchange) -> ResponseLimits:
        """Return the limits of an attempt's response.

        One that must not be sent again gains nothing by giving up a head that is written slowly."""
        max_bytes = self.pool.response_memory.limit if exchange.sink.buffered else MAX_BODY_BYTES
        return ResponseLimits(max_bytes, None if effect.at_most_once else HEAD_SILENCE_TIMEOUT)

    async def run_attempt(self, effect: ev.Forward, exchange: Exchange) -> ev.AttemptEnded:
        """Send the request and pass its response on."""
        gate = self.gates[effect.id, effect.attempt]

        def ended(status: Status, detail: int = 0, load: dict[str, float] | None = None) -> ev.AttemptEnded:
            return ev.AttemptEnded(effect.id, effect.attempt, status, detail, load or {})

        call, started_at = exchange.call(effect), self.loop.time()
        headers, data, body_gate = call.headers, call.body, gate
        if effect.at_most_once and data:
            headers = {**headers, "Content-Length": str(len(data))}
            data, body_gate = self.pool.delay_last_byte(data, gate), self.make_gate(effect)
        try:
            response = await self.pool.request(
                call.method,
                effect.endpoint.address,
                call.path,
                body_gate,
                self.response_limits(effect, exchange),
                headers=headers,
                data=data,
            )
        except MalformedResponseError as error:
            return ended(log_malformed(effect, error))
        except asyncio.CancelledError:
            if self.loop.time() - started_at > UNRESPONSIVE_AFTER.total_seconds():
                self.pool.connector.close_idle(effect.endpoint.address)
            raise
        except SendDeniedError:
            return ended(Status.CONNECT_FAILED, SERVER_NOT_AT_FAULT)
        except StaleConnectionError:
            return ended(Status.RESET if gate.is_set() else Status.CONNECT_FAILED, SERVER_NOT_AT_FAULT)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if gate.denied or body_gate.denied or is_local_failure(error):
                return ended(Status.CONNECT_FAILED, SERVER_NOT_AT_FAULT)
            # An unreachable machine gives no sign: the next request on an idle connection would wait in
            # silence again, whereas a new connection fails at the connect timeout.
            self.pool.connector.close_idle(effect.endpoint.address)
            # A broken connection proves that the request did not run only if its last byte cannot have been
            # sent.
            return ended(Status.RESET if gate.is_set() else Status.CONNECT_FAILED)
        complete = False
        try:
            head = exchange.read_head(response.status, response.headers, b"")
            if head.status is not None:
                body = await read_short_response(response)
                complete = body is not None
                if complete:
                    head = exchange.read_head(response.status, response.headers, body)
                return ended(head.status, head.detail, head.load)
            result = await self.relay.relay(effect, exchange, response)
            complete = result.status is Status.OK
            detail, load = exchange.read_tail(result.tail)
            return ended(result.status, detail, {**head.load, **load})
        finally:
            if complete and response.content.at_eof():
                response.release()
            else:
                response.close()

    async def run_reservation(self, effect: ev.Reserve) -> None:
        """Request a reservation between the sending of the read and its end.

        Before, no endpoint knows of the read. A reservation that is requested or confirmed after the read's
        end would go unused, and with a lost response it would not be released in time.
        """
        key = effect.id, effect.attempt
        gate = self.make_gate(effect)
        read_task = self.attempts.get(key)
        path = self.reservation_path(effect.id)
        reserved: bool | None = False  # if no call is sent, nothing is reserved
        unanswered = False
        try:
            if read_task and path:
                await self.gates[key].wait()
            if read_task and path and not read_task.done():
                call = self.start_task(
                    self.pool.call("POST", effect.endpoint.address, path, RESERVATION_TIMEOUT, gate)
                )
                await asyncio.wait({call, read_task}, return_when=asyncio.FIRST_COMPLETED)
                if call.done() and gate.is_set():
                    reserved = RESERVED_BY_HTTP_STATUS.get(call.result())
                    unanswered = call.result() is None
                elif gate.is_set():
                    reserved = None
                # The read has ended, so the call is reset: it must not arrive after the release.
                call.cancel()
                await asyncio.wait({call})
        finally:
            self.feed(ev.ReservationFinished(effect.id, effect.attempt, reserved, unanswered))

    async def run_probe(self, effect: ev.Probe) -> None:
        """Probe an endpoint; an inconclusive result counts as a reset."""
        started_at, status, load = self.loop.time(), Status.RESET, {}
        try:
            async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
                async with self.pool.request("GET", effect.endpoint.address, self.probe_path) as response:
                    body = await read_short_response(response)
                    status = Status.OK if response.status == 200 else Status.ERROR
                    # The last value of a report that broke off would be read as another number.
                    load = self.parse_load_report(body if body and has_framing(response) else b"")
        except TimeoutError:
            status = Status.TIMEOUT
        except aiohttp.ClientConnectorError as error:
            # A lack of local sockets or a reset is not the endpoint's failure.
            if isinstance(error.os_error, ConnectionRefusedError):
                status = Status.CONNECT_FAILED
        except (aiohttp.ClientError, OSError):
            pass
        if status in (Status.TIMEOUT, Status.CONNECT_FAILED):
            # On an idle connection from before the outage, the next request would wait without an answer.
            self.pool.connector.close_idle(effect.endpoint.address)
            log.write_event_limited("probe_unanswered", endpoint=effect.endpoint.name, status=status.value)
        duration = timedelta(seconds=self.loop.time() - started_at)
        self.feed(ev.ProbeFinished(effect.server, status, duration, load))
