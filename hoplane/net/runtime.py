"""Performs effects and feeds back events, on one event loop."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import aiohttp

from hoplane import log
from hoplane.config import Config
from hoplane.core import events as ev
from hoplane.core.border import to_ns
from hoplane.core.figures import dump
from hoplane.core.invariants import Invariants, Violation
from hoplane.core.ledger import Ledger
from hoplane.core.permits import Denial
from hoplane.core.reducer import Conductor, steps
from hoplane.decision.interface import SERVER_NOT_AT_FAULT, Status
from hoplane.decision.rules import Router
from hoplane.net.aiohttp_internals import MalformedResponseError, StaleConnectionError
from hoplane.net.clock import Clock
from hoplane.net.interface import Exchange
from hoplane.net.pool import Pool, SendDeniedError, SendGate, is_local_failure
from hoplane.net.relay import Relay, log_malformed, read_short_response
from hoplane.net.releases import Releases
from hoplane.net.server import MemoryBudget
from hoplane.net.start_times import StartTimes

UNHEARD = timedelta(milliseconds=500)  # an attempt given up after this casts doubt on kept connections
PROBE_WAIT = timedelta(milliseconds=300)  # it is answered beside the queue, or the machine is gone
HOLD_WAIT = timedelta(seconds=1)  # an endpoint that knows of no read says so after 0.3 s
OVERDUE = timedelta(milliseconds=250)  # after a request's time: it is answered then whatever went wrong


COUNTED: dict[type, Callable[..., str]] = {
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


def nowhere(id: str) -> None:
    """Give no path: these endpoints hold nothing."""


def untold(body: bytes) -> dict[str, float]:
    """Read no load report: these endpoints tell none."""
    return {}


class Runtime:
    """Holds the one conductor's state, its clock, its connections and what is out."""

    def __init__(
        self,
        config: Config,
        pool: Pool,
        live_path: str,
        hold_path: Callable[[str], str | None] = nowhere,
        read_report: Callable[[bytes], dict[str, float]] = untold,
    ) -> None:
        self.config, self.pool, self.clock = config, pool, Clock()
        ledger = Ledger(config.ledger_most, config.ledger_keep)
        self.state = Conductor(config.settings, Router(config.settings, config.seed), ledger)
        self.live_path, self.hold_path, self.read_report = live_path, hold_path, read_report
        self.loop = asyncio.get_running_loop()
        self.response_memory = MemoryBudget(config.limits.bodies)
        self.relay = Relay(self.response_memory, self.feed)
        self.exchanges: dict[str, Exchange] = {}
        self.attempts: dict[tuple[str, int], asyncio.Task] = {}
        self.gates: dict[tuple[str, int], SendGate] = {}
        self.tasks: set[asyncio.Task] = set()
        self.queue: deque[ev.Event] = deque()
        self.busy = False
        self.releases = Releases(pool, self.state, self.clock, self.release_path, self.report_violation)
        self.start_times = StartTimes()
        self.last_sent: dict[str, datetime] = {}  # when something new went to each endpoint
        self.heed: Callable[[str, Status], None] | None = None  # told how each attempt ended, where set
        # Asked as an attempt's bytes go, the last one of what must not run twice; set where it is shared.
        self.spend: Callable[[ev.Endpoint], bool] = lambda endpoint: True
        self.effects = {
            ev.Forward: self.forward,
            ev.AbandonAttempt: self.abandon,
            ev.Reserve: self.ask_hold,
            ev.Probe: self.probe,
            ev.Release: self.let_go,
            ev.Refuse: self.refuse,
            ev.Fail: self.fail,
            ev.SetTimer: self.wake,
            ev.WriteLog: self.say,
        }

    def feed(self, event: ev.Event) -> None:
        """Take an event in and perform what it calls for; events met meanwhile come after it, in order."""
        self.queue.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.queue:
                self.take(self.queue.popleft())
        finally:
            self.busy = False

    def take(self, event: ev.Event) -> None:
        """Let the reducer take an event, and perform its effects.

        A fault of ours, in the reducer or in an effect, costs no other effect and no other event: it is
        counted and logged, and a request that it concerns is answered at the latest as its time is over."""
        effects = []
        try:
            if type(event) is ev.EndpointsUpdated:
                event = self.start_times.convert(event, timedelta(seconds=time.time()), self.clock.now())
            self.count(event)
            effects.extend(steps(self.state, self.clock.now(), event))
        except Exception as error:
            self.broke(Violation.EVENT_FAILED, event, error)
        for effect in effects:
            try:
                self.count(effect)
                self.effects[type(effect)](effect)
            except Exception as error:
                self.broke(Violation.EFFECT_FAILED, effect, error)
                self.unperformed(effect)

    def broke(self, violation: Violation, what: ev.Event | ev.Effect, error: Exception) -> None:
        """Count and log a fault of ours."""
        self.invariants.note(violation)
        kind, id = what.log_name, getattr(what, "id", None)
        log.write_event_limited("violation", kind=violation.value, of=kind, request=id, error=repr(error))

    def unperformed(self, effect: ev.Effect) -> None:
        """Give the outcome of an effect that failed as it was performed, for the module to go on with."""
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
        """Give the run-time checks of this conductor."""
        return self.state.invariants

    async def serve(self, exchange: Exchange, done: asyncio.Future):
        """Take a request in, wait for its final answer and give it; a client that goes ends it."""
        asked = exchange.asked
        deadline = self.clock.now() + asked.time_left
        self.exchanges[asked.id] = exchange
        self.invariants.taken(asked.id, deadline)
        overdue = self.loop.call_at(self.clock.loop_time(deadline + OVERDUE), self.answer_overdue, exchange)
        try:
            self.feed(asked)
            response = await done
            self.log_violation(self.invariants.answered(asked.id, self.clock.now()), asked.id)
            return response
        except asyncio.CancelledError:
            self.invariants.left(asked.id)
            self.feed(ev.ClientDisconnected(asked.id))
            raise
        finally:
            overdue.cancel()
            del self.exchanges[asked.id]
            self.log_violation(self.invariants.closed(asked.id), asked.id)

    def answer_overdue(self, exchange: Exchange) -> None:
        """Answer a request whose time is over and that nothing has answered: some event was lost."""
        id = exchange.asked.id
        request = self.state.requests.get(id)
        if request is not None and request.began:
            return
        self.report_violation(Violation.ANSWERED_LATE, id)
        exchange.fail(False)
        self.feed(ev.ClientDisconnected(id))

    def report_violation(self, violation: Violation, id: str = "") -> None:
        """Count and log a violation."""
        self.log_violation(self.invariants.note(violation), id)

    def release_path(self, id: str) -> str | None:
        """Give the path that releases what is held for a request."""
        return self.hold_path(id)

    def log_violation(self, violation: Violation | None, id: str) -> None:
        """Log a violation that was counted."""
        if violation is not None:
            log.write_event_limited("violation", kind=violation.value, request=id)

    def figures(self) -> dict[str, object]:
        """Give the figures that the core keeps, for the operator."""
        return dump(self.state, to_ns(self.clock.now()))

    def count(self, what: ev.Event | ev.Effect) -> None:
        """Count what the fleet pays for, and how each attempt and place asked for ended."""
        if self.heed and type(what) is ev.AttemptEnded and (request := self.state.requests.get(what.id)):
            endpoint = self.state.fleet.get(request.attempts[what.attempt].server)
            if endpoint is not None:
                self.heed(endpoint.name, what.status)
        if type(what) is ev.ResponseStarted:
            self.invariants.began(what.id)
        if name := COUNTED.get(type(what)):
            self.pool.counters[name(what)] += 1

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run work beside; it is awaited at the end."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.ended)
        return task

    def ended(self, task: asyncio.Task) -> None:
        """Tell of work that broke: it must not end in silence."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.write_event("task_broke", error=repr(error))

    async def rest(self) -> None:
        """Wait until nothing is out any more."""
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    # --- effects

    def wake(self, effect: ev.SetTimer) -> None:
        self.loop.call_at(self.clock.loop_time(effect.at), self.feed, ev.TimerFired(effect.timer))

    def say(self, effect: ev.WriteLog) -> None:
        """Write a line; where endpoints were told to drain, with the moment of the last send to each."""
        facts = effect.fields
        if told := facts.get("not_live"):
            facts = {**facts, "last_sent": {n: self.last_sent[n] for n in told if n in self.last_sent}}
            self.last_sent = {n: at for n, at in self.last_sent.items() if n in self.state.numbers}
        log.write_event(effect.event, **facts)

    def refuse(self, effect: ev.Refuse) -> None:
        if exchange := self.exchanges.get(effect.id):
            exchange.refuse(effect.retry_after)

    def fail(self, effect: ev.Fail) -> None:
        if exchange := self.exchanges.get(effect.id):
            exchange.fail(effect.duplicate)

    def forward(self, effect: ev.Forward) -> None:
        key = effect.id, effect.attempt
        self.gates[key] = self.make_gate(effect, spends=True)
        task = self.attempts[key] = self.spawn(self.play(effect, self.exchanges[effect.id]))
        task.add_done_callback(lambda task: self.over(effect, task))

    def make_gate(self, effect: ev.Forward | ev.Reserve, spends: bool = False) -> SendGate:
        """Give what is asked, as bytes of a call go, whether they still may (`core/permits.py`).

        `spends`: it stands for the request's going, which spends of what the fleet shares. A client whose end
        waits to be read is seen here: an attempt may have waited for a connection, or the loop be behind."""
        deadline = self.clock.now() + effect.time_left if isinstance(effect, ev.Forward) else None

        def time_headers() -> Mapping[str, str]:
            """Give the headers that tell of the time left: less than when the attempt was decided on."""
            return (
                {}
                if deadline is None
                else self.exchanges[effect.id].time_headers(deadline - self.clock.now())
            )

        def allows() -> bool:
            exchange = self.exchanges.get(effect.id)
            disconnected = exchange is None or exchange.disconnected
            return self.allowed(effect, self.state.may_send(effect, self.clock.now(), disconnected, deadline))

        def spend() -> bool:
            if spends and not self.spend(effect.endpoint):
                return self.allowed(effect, Denial.OVER_BUDGET)
            self.last_sent[effect.endpoint.name] = datetime.now(UTC)
            return True

        return SendGate(allows, time_headers, spend)

    def allowed(self, effect: ev.Forward | ev.Reserve, denial: Denial | None) -> bool:
        """Log a denial, and end a request whose client has gone; tells whether there was none."""
        if denial is None:
            return True
        log.write_event_limited(denial.value, request=effect.id, endpoint=effect.endpoint.name)
        if denial is Denial.CLIENT_GONE:
            self.feed(ev.ClientDisconnected(effect.id))
        return False

    def abandon(self, effect: ev.AbandonAttempt) -> None:
        if task := self.attempts.get((effect.id, effect.attempt)):
            task.cancel()

    def ask_hold(self, effect: ev.Reserve) -> None:
        self.spawn(self.hold(effect))

    def probe(self, effect: ev.Probe) -> None:
        self.spawn(self.look(effect))

    def let_go(self, effect: ev.Release) -> None:
        self.spawn(self.release(effect))

    async def release(self, effect: ev.Release) -> None:
        """Release what is held for a request."""
        await self.releases.release(effect)

    # --- work

    def over(self, effect: ev.Forward, task: asyncio.Task) -> None:
        """Tell of an attempt's end; its connection is free or closed by now.

        Guards against a task that is cancelled before its first step, whose own code never runs: without an
        outcome the module would wait for ever, and what is held would stay."""
        key = effect.id, effect.attempt
        del self.attempts[key]
        gate = self.gates.pop(key)
        written = gate.is_set()
        gate.set()
        if task.cancelled():
            self.feed(ev.AttemptEnded(*key, Status.CANCELLED, written=written))
        elif task.exception():
            self.feed(ev.AttemptEnded(*key, Status.ERROR, written=written))
        else:
            self.feed(replace(task.result(), written=written))

    async def play(self, effect: ev.Forward, exchange: Exchange) -> ev.AttemptEnded:
        """Send the request, and pass its answer on where there is one."""
        gate = self.gates[effect.id, effect.attempt]

        def over(status: Status, note: int = 0, load: dict[str, float] | None = None) -> ev.AttemptEnded:
            return ev.AttemptEnded(effect.id, effect.attempt, status, note, load or {})

        call, begun = exchange.call(effect), self.loop.time()
        headers, data, body_gate = call.headers, call.body, gate
        if effect.at_most_once and data:
            headers = {**headers, "Content-Length": str(len(data))}
            data, body_gate = self.pool.delay_last_byte(data, gate), self.make_gate(effect)
        try:
            answer = await self.pool.request(
                call.method, effect.endpoint.address, call.path, body_gate, headers=headers, data=data
            )
        except MalformedResponseError as error:
            return over(log_malformed(effect, error))
        except asyncio.CancelledError:
            if self.loop.time() - begun > UNHEARD.total_seconds():
                self.pool.connector.close_idle(effect.endpoint.address)
            raise
        except SendDeniedError:
            return over(
                Status.CONNECT_FAILED, SERVER_NOT_AT_FAULT
            )  # by us, which tells nothing of the endpoint
        except StaleConnectionError:
            return over(Status.RESET if gate.is_set() else Status.CONNECT_FAILED, SERVER_NOT_AT_FAULT)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if gate.denied or body_gate.denied or is_local_failure(error):
                return over(Status.CONNECT_FAILED, SERVER_NOT_AT_FAULT)
            # Guards against a machine that is cut off, which gives no sign: the next request on a connection
            # kept from before would wait in silence again, while a new one fails as soon as a connect may.
            self.pool.connector.close_idle(effect.endpoint.address)
            # Guards a booking: a break counts as never run only while no byte of it can have gone.
            return over(Status.RESET if gate.is_set() else Status.CONNECT_FAILED)
        whole = False
        try:
            head = exchange.read_head(answer.status, answer.headers, b"")
            if head.status is not None:
                body = await read_short_response(answer)
                whole = body is not None
                if whole:
                    head = exchange.read_head(answer.status, answer.headers, body)
                return over(head.status, head.detail, head.load)
            status, tail = await self.relay.relay(effect, exchange, answer)
            whole = status is Status.OK
            note, load = exchange.read_tail(tail)
            return over(status, note, {**head.load, **load})
        finally:
            if whole and answer.content.at_eof():
                answer.release()
            else:
                answer.close()

    async def hold(self, effect: ev.Reserve) -> None:
        """Ask for a place once the read is on its way, as no endpoint knows of it before, and until its end.

        Guards against a place that is asked for or answered after the read's end: nobody would take it, and
        with a lost answer nobody would let go of it in time."""
        key, held, silent = (effect.id, effect.attempt), False, False  # what was never sent holds nothing
        asked, read, path = self.make_gate(effect), self.attempts.get(key), self.hold_path(effect.id)
        try:
            if read and path:
                await self.gates[key].wait()
            if read and path and not read.done():
                call = self.spawn(self.pool.call("POST", effect.endpoint.address, path, HOLD_WAIT, asked))
                await asyncio.wait({call, read}, return_when=asyncio.FIRST_COMPLETED)
                if call.done() and asked.is_set():
                    held, silent = {200: True, 409: False}.get(call.result()), call.result() is None
                elif asked.is_set():
                    held = None
                # The read is over: what has not arrived must not, behind the release. So the call is reset.
                call.cancel()
                await asyncio.wait({call})
        finally:
            self.feed(ev.ReservationFinished(effect.id, effect.attempt, held, silent))

    async def look(self, effect: ev.Probe) -> None:
        """Ask an endpoint for a sign of life; what tells nothing for sure counts as a reset."""
        begun, status, load = self.loop.time(), Status.RESET, {}
        try:
            async with asyncio.timeout(PROBE_WAIT.total_seconds()):
                async with self.pool.request("GET", effect.endpoint.address, self.live_path) as answer:
                    body = await read_short_response(answer)
                    status = Status.OK if answer.status == 200 else Status.ERROR
                    load = self.read_report(body or b"")
        except TimeoutError:
            status = Status.TIMEOUT
        except aiohttp.ClientConnectorError as error:
            # Guards against our own want of a socket, and a reset, being held against the endpoint.
            if isinstance(error.os_error, ConnectionRefusedError):
                status = Status.CONNECT_FAILED
        except (aiohttp.ClientError, OSError):
            pass
        if status in (Status.TIMEOUT, Status.CONNECT_FAILED):
            # Guards against connections from before the cut, on which the next request would wait in vain.
            self.pool.connector.close_idle(effect.endpoint.address)
            log.write_event_limited("probe_unanswered", endpoint=effect.endpoint.name, status=status.value)
        took = timedelta(seconds=self.loop.time() - begun)
        self.feed(ev.ProbeFinished(effect.server, status, took, load))
