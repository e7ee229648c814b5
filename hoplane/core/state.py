"""The state of one conductor: its requests, their attempts, and the fleet. Changed by `reducer.py` only.

Read state is a prompt's KV state at the endpoint that read it; a writer fetches it or it is released."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from zlib import crc32

from hoplane.core import events as ev
from hoplane.core import permits
from hoplane.core.idempotency import IdempotencyStore
from hoplane.core.invariants import Invariants
from hoplane.core.permits import Denial
from hoplane.core.statistics import Statistics
from hoplane.core.time_conversion import to_timedelta
from hoplane.core.timers import Timer
from hoplane.decision import interface as api
from hoplane.decision.interface import Status
from hoplane.decision.router import Router

# Limit of the time that read state or a reservation may be held, if the settings give none.
DEFAULT_HOLD_LIMIT = timedelta(milliseconds=500)
RELEASE_LEAD = timedelta(milliseconds=100)  # before the limit, for the network and a busy event loop
# Deducted from the hold limit after a reservation call was answered "unknown" (the endpoint had not received
# the read): the reservation may have existed for 300 ms when that answer arrives; 100 ms of that are
# tolerated.
UNKNOWN_RESERVATION_LEAD = timedelta(milliseconds=200)


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at an endpoint, as the core tracks its connection.

    `decision.state.Attempt` has the router's estimates of the same attempt.
    `response_started`: its first event goes to the client, so the request is bound to it.
    `ended`: nothing of it is in flight; its connection is idle or closed.
    `answered`: it has ended with an answer of the endpoint, of success or failure."""

    server: int
    is_read: bool
    sent_at: timedelta
    repeat_until: timedelta | None = None  # end of the window in which endpoints discard it as a duplicate
    response_started: bool = False
    ended: bool = False
    answered: bool = False
    abandon_status: Status | None = None  # set when abandoned: its status once the connection is closed
    status: Status | None = None  # set when it has ended


@dataclass(slots=True)
class Request:
    """A request, from its arrival until its last attempt and reservation call have ended.

    `received` is the event of its arrival; `decision.state.Job` has the router's state of the same request.
    `response_started`: the client is receiving a response. `closed`: the request has its final answer (for a
    response, its end) or its client has disconnected, so nothing new is sent for it."""

    received: ev.RequestReceived
    received_at: timedelta
    deadline: timedelta
    max_attempts: int | None = None  # this and the class are from the settings at its arrival
    class_settings: api.ClassSettings | None = None
    repeat_until: timedelta | None = None  # end of the window in which endpoints discard duplicates
    attempts: list[Attempt] = field(default_factory=list)
    response_started: bool = False
    closed: bool = False
    answer_pending: bool = False  # closed because the process ends, and not yet answered
    pending_reservations: int = 0  # reservation calls in flight
    interrupted: bool = False  # an attempt or reservation call was cut off; it may still take effect later
    held_since: timedelta | None = None  # since when read state may be held; None while being released
    may_have_run: bool = False
    timers: list[Timer] = field(default_factory=list)  # withdrawn at the request's end

    @property
    def safe_to_refuse(self) -> bool:
        """Return whether the request may be refused although it may have run.

        True if its class is SAFE, or if all endpoints discard its duplicates. The `repeatable` of
        `permits.RepeatConditions` is weaker: true for a read, and for any class but UNSAFE."""
        return self.class_settings is None or self.class_settings.safe_to_refuse

    def has_effect(self, effect: api.Idempotency) -> bool:
        """Return whether the request's class has this effect."""
        return self.class_settings is not None and self.class_settings.effect is effect


@dataclass
class ConductorState:
    """The conductor's state, changed by `reduce` only."""

    settings: api.Settings
    router: Router
    idempotency_store: IdempotencyStore
    requests: dict[str, Request] = field(default_factory=dict)
    server_ids: dict[str, int] = field(default_factory=dict)  # of the decision module, by endpoint name
    fleet: dict[int, ev.Endpoint] = field(default_factory=dict)
    statistics: Statistics = field(default_factory=Statistics)
    invariants: Invariants = field(default_factory=Invariants)

    def accepts_work(self, endpoint: ev.Endpoint) -> bool:
        """Return whether an endpoint is still listed as it was chosen, and as accepting new work.

        One that is listed in another zone or cell by now may not discard a repeat that was chosen for it."""
        listed = self.fleet.get(self.server_ids.get(endpoint.name))
        if listed is None or listed.state is not api.State.LIVE:
            return False
        return (listed.address, listed.zone, listed.cell) == (endpoint.address, endpoint.zone, endpoint.cell)

    def send_denial(
        self,
        effect: ev.Forward | ev.Reserve,
        now: timedelta,
        client_disconnected: bool,
        deadline: timedelta | None,
    ) -> Denial | None:
        """Return why bytes of an attempt or a reservation call may not be sent now, or None if they may."""
        request, attempt = self.requests.get(effect.id), None
        if request is not None and effect.attempt < len(request.attempts):
            attempt = request.attempts[effect.attempt]
        forward = effect if isinstance(effect, ev.Forward) else None
        abandoned = attempt is not None and attempt.abandon_status is not None
        return permits.may_send(
            permits.SendConditions(
                now,
                client_disconnected,
                request is None or request.closed or request.response_started or abandoned,
                self.accepts_work(effect.endpoint),
                deadline,
                forward and forward.repeat_until,
                None if forward or attempt is None else not attempt.ended,
            )
        )

    def response_denial(self, id: str, index: int) -> Denial | None:
        """Return why an attempt's response may not be passed on to the client, or None if it may."""
        request = self.requests.get(id)
        if request is None:
            return permits.may_respond(ended=True, abandoned=False, response_started=False)
        return permits.may_respond(
            ended=request.closed,
            abandoned=request.attempts[index].abandon_status is not None,
            response_started=request.response_started,
        )

    def attempt_records(self, request: Request) -> tuple[ev.AttemptRecord, ...]:
        """Return how the attempts of a request ended so far."""
        endpoints = (self.fleet.get(attempt.server) for attempt in request.attempts)
        return tuple(
            ev.AttemptRecord(endpoint.name if endpoint else "", attempt.status)
            for endpoint, attempt in zip(endpoints, request.attempts, strict=True)
        )

    def response_started(self, id: str) -> bool:
        """Return whether a request's response has started; endpoints then release its state themselves."""
        request = self.requests.get(id)
        return request is not None and request.response_started

    def hold_limit(self) -> timedelta:
        """Return how long read state may be held before its release starts."""
        limit_ns = self.settings.release_within
        limit = DEFAULT_HOLD_LIMIT if limit_ns is None else to_timedelta(limit_ns)
        return max(limit / 2, limit - RELEASE_LEAD)

    def reservation_release_delay(self) -> timedelta:
        """Return the time from an answer "unknown" to the release of a reservation that may exist.

        "Unknown" means that the endpoint had not received the read."""
        limit_ns = self.settings.release_within
        return max(
            ev.ZERO,
            (DEFAULT_HOLD_LIMIT if limit_ns is None else to_timedelta(limit_ns)) - UNKNOWN_RESERVATION_LEAD,
        )

    def server_id(self, name: str) -> int:
        """Return an endpoint's id for the hash ring, the same in all conductors."""
        if name not in self.server_ids:
            server_id, used_ids = crc32(name.encode()), set(self.server_ids.values())
            while server_id in used_ids:
                server_id += 1
            self.server_ids[name] = server_id
        return self.server_ids[name]
