"""The routing decisions of one router, with their tables and tuning constants.

Every send passes through `send`, every final answer through `finish`. `continue_request` continues requests
without an attempt in flight. See `interface.py` for the events and actions, and `docs/design.md` for the
design.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from statistics import median

from . import interface as api
from .cached_tokens import CachedTokensEstimator
from .interface import Group, Idempotency, Role, State, Status
from .peer_messages import PeerReport, Symptom
from .prefix_placement import observed_share, prefix_fanout
from .probes import ProbeReliability
from .reservations import ReservationTracker
from .slow_start import SlowStart
from .state import (
    Attempt,
    DecayingCounter,
    HashRing,
    Job,
    MovingAverage,
    Server,
    Servers,
    SessionRecord,
    Timers,
    drop_older_than,
    limit_entries,
    stable_hash,
)

MS, SECOND = 1_000_000, 1_000_000_000
READERS, WRITERS = (Role.READ, Role.BOTH), (Role.WRITE, Role.BOTH)
# Statuses of an attempt at a writer after which the request may have run although it has no answer. The set
# in core/reducer.py also contains OK, because the core records whether a keyed request has run even if it was
# answered. The router needs no such record: it does not retry answered requests.
MAY_HAVE_RUN = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)

# Choice of path and server. "aim" is a class's target time to first token (TTFT).
# Weights of the relative gain in TTFT and of that in time per output token, where a local read is compared
# with a remote one.
TTFT_WEIGHT, PACE_WEIGHT = 1.0, 1.0
MAX_LOCAL_NEW_SHARE = 0.25  # of the prompt's tokens that are new, below which a read may be local
MAX_LOCAL_LOAD_RATIO = 2.0  # streams of a writer over the median of writers, up to which reads may be local
DEFAULT_LOCAL_NEW_TOKENS = 2000  # new tokens below which a read is local while a bucket has no averages
REMOTE_EXPLORATION_SHARE = 0.03  # of local reads, sent to a reader instead to update the remote averages
SHORT_PROMPT_RATIO = 0.5  # longest prompt that a pure writer reads as fallback, over the mean prompt length
# While the share of failed reservations is at most the first value, pure writers read longer prompts as
# fallback: up to the second value times the mean prompt length.
LOW_RESERVATION_FAILURE_RATE, RELAXED_SHORT_PROMPT_RATIO = 0.15, 1.2
IDLE_TIMEOUT = 120 * SECOND  # after which unused session records and prefix counts are dropped
AVERAGE_WEIGHT = 0.1  # weight of a new sample in a moving average
# Share of the aim that limits our backlog and the expected delay at a reader, above which requests go to the
# next reader, and the expected delay at a fallback writer.
SPILL_SHARE = 0.5
# Virtual nodes of a reader on the hash ring, and the minimum share of them that it has in a cell with few
# writers.
VIRTUAL_NODES, MIN_RING_SHARE = 16, 0.5
# Factor on the best read speed at each finished read, and the number of tokens that the first sample must
# have.
SPEED_DECAY, MIN_SPEED_SAMPLE_TOKENS = 0.98, 1000
# Cost of transferring a read state to another cell of the zone, and to another zone. The unit of a writer's
# cost is the share of its memory in use.
OTHER_CELL_COST, OTHER_ZONE_COST = 0.8, 1.2
MAX_RESERVATIONS = 4  # requests for a reservation per read, each at another writer
# Expected TTFT, as a share of the aim, above which requests are refused: normally, under full congestion, and
# for tenants over their quota.
LATE_SHARE, CONGESTED_LATE_SHARE, OVER_QUOTA_LATE_SHARE = 0.9, 0.4, 0.4
# Mean expected delay, as a share of the aim, that counts as full congestion; weight of one request in that
# mean.
FULL_CONGESTION, CONGESTION_WEIGHT = 0.5, 0.03
# Share of failed reservations above which no writer reads as fallback; factor on the limits of the expected
# TTFT for requests that the client marked as repeats.
HIGH_RESERVATION_FAILURE_RATE, RETRY_LIMIT_FACTOR = 0.75, 0.6

# Failure detection and outlier ejection.
SILENCE_FACTOR = 6.0  # a server is silent after this multiple of a stage's mean time without activity
# By Attempt.is_read: lower bound of the silence limit, in multiples of the shortest aim.
MIN_SILENCE = {True: 0.5, False: 1.5}
# Both are multiples of the shortest aim. PROBE_SILENCE: silence after which a server is probed.
# MIN_SILENCE_ALIVE: lower bound of the silence limit of an attempt if the server has answered a probe since
# the send.
PROBE_SILENCE, MIN_SILENCE_ALIVE = 0.25, 1.5
OVERTAKE_MARGIN = 200 * MS  # an attempt sent this long before an answered one is presumed lost, not queued
# A server's queue is empty below this many thousand waiting prompt tokens and this share of memory in use.
IDLE_MAX_WAITING, IDLE_MAX_MEMORY_SHARE = 1.0, 0.8
MAX_REPORT_AGE = 400 * MS  # how old a load report may be on arrival
REPORT_WINDOW = 5 * SECOND  # time in which the weight of a reported memory share falls to 0
COST_JITTER = 0.2  # largest random addition to a writer's cost, so that routers choose different writers
# Number of consecutive errors that marks a server as down; a single connection failure or reset that takes
# longer than FAST_FAILURE also marks the server as down.
MAX_CONSECUTIVE_ERRORS, FAST_FAILURE = 2, 100 * MS
# Error rate assumed for a server without results, and the rate above which other servers are tried first.
ERROR_RATE_PRIOR, HIGH_ERROR_RATE = 0.04, 0.45
# Weight of a writer's error rate in its cost.
ERROR_COST = {
    Idempotency.SAFE: 1.0,
    Idempotency.KEYED: 1.0,
    Idempotency.UNSAFE: 8.0,
}
# Duration of a first ejection, which doubles with each consecutive one, and the longest duration.
BASE_EJECTION_TIME, MAX_EJECTION_TIME = SECOND, 8 * SECOND
# How long before its return an ejected server is probed, and the minimum time between probes of one server.
PROBE_LEAD_TIME, MIN_PROBE_INTERVAL = 400 * MS, 400 * MS
SWEEP_INTERVAL = 50 * MS  # between checks for silent servers, which also retry waiting requests
# Time over which recent events are counted. A peer's FULL report applies for at most a random 50 to 100 % of
# this time.
RATE_WINDOW = 5 * SECOND


class Router:
    """The decisions of one router."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng, self.now = random.Random(seed), 0
        self.actions: list[api.Action] = []
        self.classes = {cls.name: cls for cls in settings.classes}
        self.quotas = {tenant.name: tenant.quota_per_s for tenant in settings.tenants}
        self.tenant_arrivals: dict[str, DecayingCounter] = {}
        self.prefix_arrivals: dict[str, DecayingCounter] = {}  # requests by prefix; key "" counts all
        self.servers = Servers(settings.kinds)
        self.live = self.servers.live
        self.ring = HashRing()
        self.jobs: dict[str, Job] = {}
        self.sessions: dict[str, SessionRecord] = {}  # least recently used first
        # TTFT and time per output token, by bucket and whether the path is local (True: the read of a session
        # continuation at its writer; False: every other path, including reads at fallback writers).
        self.path_averages_by_bucket: dict[
            tuple[tuple[bool, ...], bool], tuple[MovingAverage, MovingAverage]
        ] = {}
        self.tenant_classes = [
            None,
            *((tenant, name) for tenant in (None, *self.quotas) for name in self.classes),
        ]
        # By Attempt.is_read. True: the time of a read. False: the time from a send until its first token.
        self.stage_times = {True: MovingAverage(), False: MovingAverage()}
        # True: reads sent to readers. False: all other sends.
        self.recent_sends = {True: DecayingCounter(RATE_WINDOW), False: DecayingCounter(RATE_WINDOW)}
        self.mean_prompt_tokens = MovingAverage()
        self.congestion = MovingAverage()  # expected delay of arriving requests, as a share of their aim
        self.memory_share = {role: MovingAverage() for role in Role}  # as reported by servers
        self.streams_per_writer = MovingAverage()  # of this router
        self.reservations, self.cached_tokens, self.probe_reliability = (
            ReservationTracker(RATE_WINDOW),
            CachedTokensEstimator(pessimistic=settings.retry_after),
            ProbeReliability(),
        )
        self.slow_start = SlowStart(RATE_WINDOW)
        self.read_speed = 0.0  # best speed of a reader in tokens per second
        self.timers = Timers()
        self.sweep_scheduled = self.subscribed = False
        self.handlers: dict[type, Callable[..., Job | None]] = {
            api.ServerListUpdate: self.on_server_list,
            api.Request: self.on_request,
            api.FirstToken: self.on_first_token,
            api.ReservationResult: self.on_reservation_result,
            api.Outcome: self.on_outcome,
            api.ClientDisconnected: self.on_client_disconnected,
            api.PeerMessage: self.on_peer_message,
            api.ProbeResult: self.on_probe_result,
            api.TimerFired: lambda event: self.timers.fire(event.timer),
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Process an event and return the resulting actions in order; unknown events are ignored.

        If a handler returns a Job, `continue_request` continues it. That is how a request gets its first
        attempt, its next stage, a retry after a failed attempt, or its end.
        """
        self.now, self.actions = now, []
        if handler := self.handlers.get(type(event)):
            self.continue_request(handler(event))
        return self.actions

    def on_server_list(self, event: api.ServerListUpdate) -> None:
        """Apply a server list and rebuild the hash ring.

        A complete list also removes servers that it leaves out. A reader in a cell with few writers gets
        fewer virtual nodes.
        """
        self.subscribe()
        if event.entries is None:
            self.subscribed = False
            self.schedule(SECOND, self.subscribe)
            return
        self.servers.update(event, self.now)
        cells = Counter((s.role, s.entry.cell) for s in self.live(Role))
        readers_per_writer = len(self.live((Role.READ,))) / max(1, len(self.live((Role.WRITE,))))
        writer_ratio = {
            cell: readers_per_writer * cells[Role.WRITE, cell] / max(1, cells[Role.READ, cell])
            for _, cell in cells
        }
        ring_share = {
            Role.READ: lambda cell: max(MIN_RING_SHARE, writer_ratio[cell]),
            Role.BOTH: lambda cell: readers_per_writer / 2 or 1.0,
        }
        for server in self.servers.values():
            server.credit = self.rng.random() if server.credit is None else server.credit
        self.ring = HashRing(
            (s, round(VIRTUAL_NODES * min(1.0, ring_share[s.role](s.entry.cell)))) for s in self.live(READERS)
        )

    def subscribe(self) -> None:
        if self.settings.must_subscribe and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.SubscribeServerList())

    def on_request(self, event: api.Request) -> Job | None:
        """Accept a request and set a timer for its deadline; the returned job is then sent or refused.

        The timer fires one tick early, so that the final answer is in time.
        """
        cls = self.classes.get(event.class_name)
        if cls is None or event.request_id in self.jobs:
            return None
        session_record = self.sessions.get(event.session or event.prefix or "")
        job = Job(
            event, cls, self.now, self.now + event.time_left, session_record, self.settings.max_attempts
        )
        self.jobs[event.request_id] = job
        self.mean_prompt_tokens.add(event.prompt_tokens, AVERAGE_WEIGHT)
        self.slow_start.arrivals.add(self.now, not event.retry)
        self.tenant_arrivals.setdefault(event.tenant or "", DecayingCounter(RATE_WINDOW)).add(
            self.now, not event.retry
        )
        for prefix in dict.fromkeys(("", event.prefix or "")):
            self.prefix_arrivals[prefix] = self.prefix_arrivals.pop(prefix, DecayingCounter(IDLE_TIMEOUT))
            self.prefix_arrivals[prefix].add(self.now)
        limit_entries(self.prefix_arrivals)
        delay = max(0, event.time_left - self.settings.tick)
        job.deadline_timer = self.schedule(delay, lambda: job if job.is_answered else self.finish(job))
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.schedule(SWEEP_INTERVAL, self.sweep)
        job.local_server = self.local_writer(job)
        return job

    def on_first_token(self, event: api.FirstToken) -> None:
        if (attempt := self.servers.attempt(event)) is None:
            return
        job, server = attempt.job, attempt.server
        attempt.response_started, job.first_token_at, job.state_holder = True, self.now, None
        self.record_activity(attempt)
        self.record_queue_delay(server, self.now - attempt.sent_at, attempt.unread_tokens)
        self.stage_times[False].add(self.now - attempt.sent_at, AVERAGE_WEIGHT)
        self.path_averages(job)[0].add(self.now - job.arrived_at, AVERAGE_WEIGHT)

    def on_reservation_result(self, event: api.ReservationResult) -> None:
        """Record the result of a reservation; if it failed, try the next writer."""
        attempt = self.servers.attempt(event)
        if attempt is None or not (job := attempt.job).requested_reservations:
            return
        self.reservations.add(self.now, event.reserved)
        if event.reserved and not job.ended:
            job.reserved_server = job.reserved_server or job.requested_reservations[-1]
        elif not (job.reserved_server or job.ended):
            self.reserve(job)

    def reserve(self, job: Job) -> None:
        """Reserve memory at the best writer during the read, so that the read state is transferred early.

        This also avoids writers that other routers have filled since their last report. During long reads the
        reserved memory stays unused.
        """
        for server in (
            self.rank_writers(job)[:MAX_RESERVATIONS]
            if self.settings.reserve_ahead and len(job.requested_reservations) < MAX_RESERVATIONS
            else []
        ):
            if server not in job.requested_reservations and self.slow_start_allows(server):
                server.credit = 0.0
                job.requested_reservations.append(server)
                self.actions.append(api.Reserve(job.request.request_id, server.entry.server))
                return

    def on_outcome(self, event: api.Outcome) -> Job | None:
        """Process the end of an attempt: update its server, its request and the averages.

        The returned job is continued: after a read it is sent to a writer, after a failure it is retried if
        that is allowed, and after an answer it is removed.
        """
        if (attempt := self.servers.attempt(event)) is None:
            return None
        job, server, status = attempt.job, attempt.server, event.status
        self.record_load(event)
        attempt.unregister()
        attempt.may_have_run = not attempt.is_read and status in MAY_HAVE_RUN
        attempt.failed = status in (*MAY_HAVE_RUN, Status.CONNECT_FAILED)
        job.ended = job.ended or event.closed
        if status in (Status.OK, Status.MISS):
            self.record_activity(attempt)
        elif status in (Status.CONNECT_FAILED, Status.RESET, Status.ERROR):
            self.record_failure(server, event)
        elif status in (Status.CANCELLED, Status.TIMEOUT) and attempt.is_read and not attempt.presumed_lost:
            # A lower bound: the read would have waited even longer.
            self.record_queue_delay(server, event.elapsed, attempt.unread_tokens)
        elif status is Status.FULL and event.detail != 1:
            self.apply_symptom(Symptom.FULL, server, job.tenant_class)
        if status is Status.MISS:
            self.learn_read(attempt, event)
        elif status is Status.OK and job.first_token_at is not None:
            self.learn_answer(job, server, event)
        elif status is Status.FULL and event.detail == 1:
            job.state_holder = None
        # Reset after every outcome, once the averages of its path are updated: a retry takes the path through
        # a reader instead of waiting for the same writer again.
        job.local_server = None
        if status is not Status.MISS and job.requested_reservations:
            self.release(job)
        return job

    def record_load(self, event: api.Outcome | api.ProbeResult) -> None:
        """Record the memory use that a server reports, as our own requests are only a part of it."""
        memory_share = event.load.get(self.settings.held_memory_field)
        if memory_share is not None and (server := self.servers.get(event.server)):
            server.load_reported_at, server.reported_memory_share = self.now, memory_share
            self.memory_share[server.role].add(server.reported_memory_share, AVERAGE_WEIGHT)

    def record_failure(self, server: Server, event: api.Outcome) -> None:
        """Mark a server as down after consecutive errors, or after one slow connection failure or reset.

        Otherwise a server that fails at once looks least busy and attracts requests. A single reset within
        FAST_FAILURE does not mark a server as down; a slower one does. A reset of a kept-alive connection is
        ignored: it may have been closed as idle.
        """
        if event.status is not Status.ERROR and event.detail == api.SERVER_NOT_AT_FAULT:
            return
        server.consecutive_errors += 1
        refused = event.status is Status.CONNECT_FAILED and event.elapsed <= FAST_FAILURE
        server.recent_failures.add(self.now, refused or event.status is Status.ERROR)
        if server.consecutive_errors >= MAX_CONSECUTIVE_ERRORS or (
            event.status is not Status.ERROR and event.elapsed > FAST_FAILURE
        ):
            self.apply_symptom(Symptom.DOWN, server)

    def learn_read(self, attempt: Attempt, event: api.Outcome) -> None:
        """Record a finished read: who holds the state, the reader's speed and its queue delay.

        If the reader had cached less than half of the tokens expected, it has lost its whole cache, and reads
        in flight there count in full.
        """
        job, server = attempt.job, attempt.server
        if 2 * event.detail < job.request.prompt_tokens - self.cached_tokens.known_unread_tokens(job, server):
            server.invalidate_cache(self.now)
        job.state_holder, job.state_since, job.reader = server, self.now, server
        self.stage_times[True].add(event.elapsed, AVERAGE_WEIGHT)
        unread_tokens = max(0, job.request.prompt_tokens - event.detail)
        self.cached_tokens.observe_read(job, server, unread_tokens, self.now)
        if unread_tokens >= MIN_SPEED_SAMPLE_TOKENS or self.read_speed:
            self.read_speed = max(
                unread_tokens * SECOND / max(1, event.elapsed), self.read_speed * SPEED_DECAY
            )
        self.record_queue_delay(server, event.elapsed, unread_tokens)
        server.cached_prefixes.pop(job.request.prefix or "", None)
        server.cached_prefixes[job.request.prefix or ""] = DecayingCounter(IDLE_TIMEOUT, updated_at=self.now)
        drop_older_than(server.cached_prefixes, self.now - IDLE_TIMEOUT)
        limit_entries(server.cached_prefixes)

    def learn_answer(self, job: Job, server: Server, event: api.Outcome) -> None:
        """Record a finished answer: the session's record and the time per output token.

        If a local read found few cached tokens (flush, restart, lack of memory), the writer's older session
        records are void. That is too strict if only one session was lost.
        """
        self.path_averages(job)[1].add((self.now - job.first_token_at) / job.output_tokens, AVERAGE_WEIGHT)
        key = job.request.session or job.request.prefix or ""
        self.sessions.pop(key, None)
        self.sessions[key] = job.next_session_record(server, self.now)
        limit_entries(self.sessions)
        if job.local_server is not None and 2 * event.detail < job.request.prefix_tokens:
            server.sessions_valid_since = job.arrived_at

    def on_client_disconnected(self, event: api.ClientDisconnected) -> Job | None:
        """End a request without an answer; the returned job is removed once no attempt is in flight."""
        if job := self.jobs.get(event.request_id):
            job.ended = True
            self.cancel(job.in_flight)
        return job

    def schedule(self, delay: int, callback: Callable[[], Job | None]) -> int:
        """Set a timer for a callback and return the timer's id."""
        timer = self.timers.add(callback)
        self.actions.append(api.SetTimer(self.now + delay, timer))
        return timer

    def forget(self, job: Job) -> None:
        """Remove a request that has ended, and its timer, which may lie far ahead."""
        del self.jobs[job.request.request_id]
        if self.timers.pop(job.deadline_timer, None):
            self.actions.append(api.CancelTimer(job.deadline_timer))

    def record_activity(self, attempt: Attempt) -> None:
        server = attempt.server
        self.probe_reliability.confirm_alive(server)
        server.overtaken_before = max(server.overtaken_before, attempt.sent_at - OVERTAKE_MARGIN)
        server.last_seen, server.consecutive_ejections, server.ejected_until, server.consecutive_errors = (
            self.now,
            0,
            0,
            0,
        )
        server.recent_successes.add(self.now)

    def record_queue_delay(self, server: Server, elapsed: int, unread_tokens: int) -> None:
        server.queue_delay, server.queue_delay_at = elapsed - self.reading_time(unread_tokens), self.now

    def apply_symptom(
        self, symptom: Symptom, server: Server, tenant_class: object = None, from_peer: bool = False
    ) -> None:
        """Act on a fault observed at a server by this router or by a peer, and report our own to all peers.

        DOWN ejects the server with the back-off of `eject`, whoever observed it. FULL makes the server
        unavailable to a tenant and class for the mean time between two of our sends to a server of its role,
        but at most `max_duration`. For a peer's report that maximum is short and random, so that a few
        routers try the server again early. Without the reports each of many routers loses a request to each
        faulty server. If the fault was only momentary, the server is avoided longer than needed.
        """
        max_duration = RATE_WINDOW * self.rng.uniform(0.5, 1) if from_peer else IDLE_TIMEOUT
        expires_at = self.now + round(min(self.send_interval(server), max_duration))
        if symptom is Symptom.FULL:
            server.full_until[tenant_class] = max(server.full_until.get(tenant_class, 0), expires_at)
        else:
            self.eject(server, certain=True)
        if self.settings.peers and not from_peer and tenant_class in self.tenant_classes:
            report = PeerReport(symptom, server.entry.server, self.tenant_classes.index(tenant_class))
            self.actions.append(api.SendPeerMessage(None, report.pack()))

    def on_peer_message(self, event: api.PeerMessage) -> None:
        report = PeerReport.parse(event.data)
        server = self.servers.get(report.server) if report else None
        if server and report.tenant_class_index < len(self.tenant_classes):
            self.apply_symptom(
                report.symptom, server, self.tenant_classes[report.tenant_class_index], from_peer=True
            )

    def eject(self, server: Server, certain: bool, extend: bool = False) -> bool:
        """Eject a server, for longer with each consecutive ejection, and probe it just before its return.

        This keeps requests away from dead and hung servers. Certain reasons are consecutive
        errors, a slow connection failure or reset, a failed probe, and a peer's report of one of these. An
        uncertain one is silence, found by `sweep`: it may also mean load, so it ejects at most half of the
        servers of a role. A server that is already ejected is ejected anew only with `extend`, when the probe
        before its return fails. Returns whether the server was ejected now.
        """
        live = self.live((server.role,))
        healthy = [s for s in live if self.now >= s.ejected_until and s is not server]
        if (self.now < server.ejected_until and not extend) or not (certain or 2 * len(healthy) >= len(live)):
            return False
        server.consecutive_ejections += 1
        duration = min(BASE_EJECTION_TIME << (server.consecutive_ejections - 1), MAX_EJECTION_TIME)
        server.ejected_until = self.now + duration
        if self.settings.probes:
            self.schedule(duration - PROBE_LEAD_TIME, lambda: self.probe(server))
        return True

    def sweep(self) -> None:
        """Check the servers and the waiting requests; come again while requests wait, whatever happened."""
        try:
            self.check_waiting_requests()
        finally:
            self.sweep_scheduled = not all(job.is_answered for job in self.jobs.values())
            if self.sweep_scheduled:
                self.schedule(SWEEP_INTERVAL, self.sweep)

    def check_waiting_requests(self) -> None:
        """Eject silent servers, drop idle table entries, and continue waiting requests.

        Requests without an attempt in flight are continued by `continue_request`: sent if a server is
        available by now, or ended. Cancelled attempts are retried when their outcome arrives.

        Servers are silent if they hang or are cut off, and also under long congestion. So the mean time of a
        stage includes attempts that were given up, and attempts at writers of requests that are not SAFE keep
        waiting.
        """
        unanswered = [job for job in self.jobs.values() if not job.is_answered]
        for server in dict.fromkeys(attempt.server for job in unanswered for attempt in job.in_flight):
            if oldest_waiting := server.oldest_waiting:
                silent_for = self.now - max(oldest_waiting.sent_at, server.last_seen)
                if silent_for > self.silence_limit(oldest_waiting) and self.eject(server, certain=False):
                    self.stage_times[oldest_waiting.is_read].add(
                        self.now - oldest_waiting.sent_at, AVERAGE_WEIGHT
                    )
                    self.cancel_reads_and_safe(server)
                elif silent_for > PROBE_SILENCE * min(cls.aim for cls in self.settings.classes):
                    self.probe(server)
        for attempt in [a for job in unanswered for a in job.in_flight if a.presumed_lost and not a.failed]:
            cancellable = attempt.is_read or attempt.job.cls.effect is Idempotency.SAFE
            if cancellable and self.now - attempt.sent_at > self.silence_limit(attempt):
                attempt.failed = True
                self.cancel([attempt])
        for table in (self.sessions, self.prefix_arrivals):
            drop_older_than(table, self.now - IDLE_TIMEOUT)
        for job in unanswered:
            self.continue_request(job)

    def cancel_reads_and_safe(self, server: Server) -> None:
        """Cancel the reads and the attempts of SAFE requests at a server."""
        self.cancel(a for a in server.in_flight.values() if a.is_read or a.job.cls.effect is Idempotency.SAFE)

    def probe(self, server: Server) -> None:
        """Probe a listed server, at most once per MIN_PROBE_INTERVAL."""
        if (
            self.settings.probes
            and server in self.servers.values()
            and self.now - server.last_probe_at >= MIN_PROBE_INTERVAL
        ):
            server.last_probe_at = self.now
            self.actions.append(api.Probe(server.entry.server))

    def on_probe_result(self, event: api.ProbeResult) -> None:
        """Eject a server whose probe failed; give attempts at one that answered a longer silence limit.

        A probe distinguishes a congested server from an unreachable one. If the server reports an empty
        queue, attempts that wait there without activity are presumed lost and may be given up.
        """
        if (server := self.servers.get(event.server)) is None:
            return
        self.record_load(event)
        timed_out = event.status is Status.TIMEOUT and self.probe_reliability.record_timeout(server)
        if timed_out or event.status is Status.CONNECT_FAILED:
            if self.now < server.ejected_until:
                self.eject(server, certain=True, extend=True)
            else:
                self.apply_symptom(Symptom.DOWN, server)
            self.cancel_reads_and_safe(server)
        elif event.status not in (Status.RESET, Status.TIMEOUT):
            self.probe_reliability.record_answer(server)
            server.last_probe_answer_at = self.now
            waiting_tokens, memory_share = map(
                event.load.get, (self.settings.waiting_tokens_field, self.settings.held_memory_field)
            )
            idle = (
                waiting_tokens is not None
                and waiting_tokens < IDLE_MAX_WAITING
                and (memory_share or 0) < IDLE_MAX_MEMORY_SHARE
            )
            server.idle_at = self.now - MAX_REPORT_AGE if idle else 0

    def silence_limit(self, attempt: Attempt) -> float:
        """Return how long an attempt may see no activity before it counts as lost.

        The limit is a multiple of the stage's mean time, with a lower bound, plus the time to read the tokens
        that the server has yet to read for the attempt. An attempt that is presumed lost, as the server
        answers other requests but not this one, would otherwise wait until its deadline. Its lower bound is
        half the shortest aim, and the reading time covers the whole prompts of all reads sent there up to it.
        """
        server, ahead = attempt.server, [attempt]
        minimum = (
            MIN_SILENCE_ALIVE
            if server.last_probe_answer_at > attempt.sent_at
            else MIN_SILENCE[attempt.is_read]
        )
        if attempt.presumed_lost:
            minimum = MIN_SILENCE[True]
            ahead = [a for a in server.in_flight.values() if a.is_read and a.sent_at <= attempt.sent_at]
        minimum *= min(cls.aim for cls in self.settings.classes)
        tokens = sum(a.job.request.prompt_tokens if attempt.presumed_lost else a.unread_tokens for a in ahead)
        return max(
            SILENCE_FACTOR * (self.stage_times[attempt.is_read].value or 0), minimum
        ) + self.reading_time(tokens)

    def available_servers(
        self, roles: tuple[Role, ...], tenant_class: tuple[str | None, str] = (None, "")
    ) -> list[Server]:
        """Return the servers that may get new work.

        An ejected server that has returned gets a single request as a trial. A server that was full for a
        tenant and class gets no requests of that tenant and class, but may get those of others.
        """
        return [
            s
            for s in self.live(roles)
            if self.now >= s.available_at(tenant_class) and not (s.consecutive_ejections and s.in_flight)
        ]

    def continue_request(self, job: Job | None) -> None:
        """Make sure that a request without an attempt in flight is sent, waits within its limits, or ends."""
        if job is None or job.in_flight or self.jobs.get(job.request.request_id) is not job:
            return
        if not job.ended:
            self.start_next_attempt(job)
        if job.ended and not job.in_flight:
            self.release(job)
            self.forget(job)

    def start_next_attempt(self, job: Job) -> None:
        """Send the request to the next stage, let it wait, or end it.

        If the request would be late and its prompt has not been read, a fallback writer is tried first,
        without a reader; if there is none, the request is refused, or failed if it may have run.
        """
        exhausted = self.now >= job.deadline - self.settings.tick or not self.may_attempt(job, None)
        give_up = exhausted or self.no_server_in_time(job)
        state_deadline = job.state_since + (self.settings.release_within or IDLE_TIMEOUT) - 2 * SWEEP_INTERVAL
        if not give_up and job.state_holder is None and self.would_be_late(job):
            give_up = not self.send_first(job, self.fallback_writers(job), is_read=False)
        elif (
            not give_up
            and not self.send_next(job)
            and job.state_holder is not None
            and self.now > state_deadline
        ):
            self.release(job)
        if give_up:
            self.finish(job)

    def send_next(self, job: Job) -> bool:
        """Send the request to the next stage of its path; return whether it was sent.

        If the prompt has been read, the request goes to a writer. Otherwise the order is: the session's local
        writer, a reader, a fallback writer.
        """
        if job.state_holder is not None:
            return self.send_first(job, self.rank_writers(job), is_read=False)
        if job.local_server is not None and self.send(job, job.local_server, is_read=False):
            return True
        job.local_server = None
        if self.all_cold() and not any(map(self.cold_due, self.live(WRITERS))):
            return False  # no writer would take the read state before it must be released
        read = self.send_first(job, self.rank_readers(job), is_read=True)
        return read or self.send_first(job, self.fallback_writers(job), is_read=False)

    def send_first(self, job: Job, servers: list[Server], is_read: bool) -> bool:
        """Send the request to the first server that is allowed; a mixed server reads and writes in one."""
        return any(self.send(job, server, is_read and server.role is Role.READ) for server in servers)

    def release(self, job: Job) -> None:
        """Release what servers may hold for a request."""
        if any(attempt.is_read for attempt in job.attempts):
            self.actions.append(api.Release(job.request.request_id))
        job.state_holder = job.reserved_server = None
        job.requested_reservations.clear()

    def finish(self, job: Job) -> Job:
        """Give the final answer: refused if a retry by the client is known to be safe, else failed."""
        cls, request = job.cls, job.request.request_id
        safe_to_retry = not job.in_flight and not any(attempt.may_have_run for attempt in job.attempts)
        retry_delay = min(
            max(0, job.retry_delay), self.settings.retry_after and self.settings.max_retry_after or 0
        )
        self.actions.append(
            api.Refuse(request, retry_delay) if safe_to_retry or cls.safe_to_refuse else api.Fail(request)
        )
        job.ended = True
        self.cancel(job.in_flight)
        return job

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        if self.settings.cancel:
            self.actions.extend(
                api.Cancel(a.job.request.request_id, a.index) for a in attempts if not a.response_started
            )

    def may_attempt(self, job: Job, server: Server | None) -> bool:
        """Return whether another attempt is allowed, at this server or (None) at any.

        It depends on the attempt limit, the attempts in flight, and whether an earlier attempt may have run.
        """
        max_attempts, cls = job.max_attempts, job.cls
        may_add_attempt = not job.in_flight or (
            self.settings.second_copies and cls.effect is Idempotency.SAFE
        )
        if job.ended or (max_attempts and len(job.attempts) >= max_attempts) or not may_add_attempt:
            return False
        may_have_run = [attempt for attempt in job.attempts if attempt.may_have_run]
        if not may_have_run or cls.effect is Idempotency.SAFE:
            return True
        if (
            cls.effect is Idempotency.UNSAFE
            or self.now + self.settings.tick >= may_have_run[0].sent_at + cls.window
        ):
            return False
        group_key = {Group.ALL: lambda e: 0, Group.ZONE: lambda e: e.zone, Group.CELL: lambda e: e.cell}[
            cls.group
        ]
        return server is None or all(
            group_key(attempt.entry) == group_key(server.entry) for attempt in may_have_run
        )

    def send(self, job: Job, server: Server, is_read: bool) -> bool:
        """Send the request if the server is not draining and slow start and `may_attempt` allow it.

        `is_read`: sent to a reader for reading only. It is false for a local read, a fallback read, and all
        sends to a mixed server.
        """
        allowed = server.entry.state is State.LIVE and self.may_attempt(job, server)
        if not (allowed and (server is job.reserved_server or self.slow_start_allows(server))):
            return False
        server.credit = server.credit if server is job.reserved_server else 0.0
        unread_tokens = self.unread_tokens(job, server) if job.state_holder is None else 0
        committed_tokens = 0 if is_read else job.request.prompt_tokens + job.request.max_output_tokens
        Attempt(job, len(job.attempts), server, is_read, committed_tokens, unread_tokens, self.now).register()
        self.recent_sends[is_read].add(self.now)
        self.slow_start.reserve_send(server.entry.server)
        self.actions.append(api.Send(job.request.request_id, server.entry.server))
        if is_read:
            job.last_reader = server
            if self.all_cold() or self.reservations.should_reserve(
                self.now, self.settings.probe_price, self.rng
            ):
                self.reserve(job)  # also spends a cold writer's slow-start credit on this request
        return True

    def slow_start_allows(self, server: Server) -> bool:
        """Return whether a server is warm, or has slow-start credit for a send."""
        role_size, sends = len(self.live((server.role,))), self.recent_sends[server.role is Role.READ]
        return self.slow_start.allows_send(server, self.now, self.settings, sends, role_size)

    def all_cold(self) -> bool:
        """Return whether all writers are cold."""
        return self.slow_start.all_cold(self.live(WRITERS), self.now, self.settings)

    def cold_due(self, server: Server) -> bool:
        """Return whether a server is cold and has slow-start credit for a send."""
        return server.warmup_progress(self.now, self.settings.cold) < 1 and self.slow_start_allows(server)

    def would_be_late(self, job: Job) -> bool:
        """Return whether the expected TTFT exceeds the limit.

        If so, the request is refused unless a fallback writer can read it. Also adds the expected delay of an
        arriving request to `congestion`, and sets the job's `retry_delay`, the advice that a refusal carries:
        the time by which the limit is exceeded.

        The limit is lower under congestion and for tenants over their quota, and lower still for requests
        that the client marked as repeats, as their total age is unknown (only where refusals may carry retry
        advice). Delays are taken from servers that were given work recently. With no recent measurement a
        request is admitted, so that one slow read cannot block admission for good.
        """
        candidates = (
            [[job.local_server]]
            if job.local_server
            else [self.available_servers((role,)) for role in (Role.READ, Role.WRITE)]
        )
        delays = (
            [
                self.expected_delay(s)
                for s in servers
                if s.oldest_waiting or self.now < s.queue_delay_at + RATE_WINDOW
            ]
            for servers in candidates
        )
        stage_delays = [median(delays_of_stage) if delays_of_stage else 0 for delays_of_stage in delays]
        if not job.local_server and (readers := self.rank_readers(job)):
            stage_delays[0] = self.expected_read_time(job, readers[0])
        total_delay = (
            sum(stage_delays) + self.reservations.failure_rate(self.now) ** MAX_RESERVATIONS * job.aim
        )
        if self.now == job.arrived_at:
            self.congestion.add(min(1.0, total_delay / job.aim), CONGESTION_WEIGHT)
        limit = LATE_SHARE - (LATE_SHARE - CONGESTED_LATE_SHARE) * min(
            1.0, (self.congestion.value or 0) / FULL_CONGESTION
        )
        if self.is_over_quota(job.request.tenant or ""):
            limit = min(limit, OVER_QUOTA_LATE_SHARE)
        expected_ttft = self.now - job.arrived_at + total_delay
        job.retry_delay = round(expected_ttft - limit * job.aim)
        limit *= RETRY_LIMIT_FACTOR if job.request.retry and self.settings.retry_after else 1
        has_evidence = job.local_server or any(
            s.oldest_waiting or self.now < s.queue_delay_at + RATE_WINDOW for s in self.live(READERS)
        )
        return bool(has_evidence) and expected_ttft > limit * job.aim

    def is_over_quota(self, tenant: str) -> bool:
        """Return whether a tenant's recent arrivals here exceed this router's part of its quota.

        A quota of 0 is exceeded by any arrival; without a quota there is no limit.
        """
        if (quota := self.quotas.get(tenant)) is None:
            return False
        expected_arrivals = quota * RATE_WINDOW / SECOND / self.settings.routers
        # The square root allows for random variation of the arrivals.
        return self.tenant_arrivals[tenant].count > expected_arrivals + expected_arrivals**0.5

    def no_server_in_time(self, job: Job) -> bool:
        """Return whether some remaining stage has no server available before the request would be late.

        This ends requests early if all servers of a stage are unlisted, dead or full at the same time.
        """
        latest = max(self.now, job.arrived_at + round(LATE_SHARE * job.aim))
        stages = [WRITERS, READERS if not (job.state_holder or self.settings.writers_read) else Role]
        available_times = ((s.available_at(job.tenant_class) for s in self.live(roles)) for roles in stages)
        available_at = max(min(times, default=latest + SECOND) for times in available_times)
        job.retry_delay = available_at - self.now
        return available_at > latest

    def fallback_writers(self, job: Job) -> list[Server]:
        """Return the writers that may read the prompt themselves if readers are congested or unavailable.

        A writer reads a prompt in one of two ways: as the session's local writer, see `local_writer`, or as
        this fallback, for any request. `Settings.writers_read` governs the fallback only, and
        `path_averages` count it as remote. It is not offered while too many reservations fail, nor at writers
        where requests of ours wait to be read or the expected delay is long.

        Limits of the prompt's length, over the mean prompt length: at mixed servers 1; at pure writers
        SHORT_PROMPT_RATIO, or RELAXED_SHORT_PROMPT_RATIO while nearly all reservations succeed, as reading
        slows down a writer's answers. Without any live reader there is no limit.
        """
        failure_rate = self.reservations.failure_rate(self.now)
        if (
            not self.settings.writers_read
            or job.local_server is not None
            or failure_rate > HIGH_RESERVATION_FAILURE_RATE
        ):
            return []
        size_ratio = job.request.prompt_tokens / (self.mean_prompt_tokens.value or 1)
        max_size_ratio = {
            Role.WRITE: SHORT_PROMPT_RATIO
            if failure_rate > LOW_RESERVATION_FAILURE_RATE
            else RELAXED_SHORT_PROMPT_RATIO,
            Role.BOTH: 1.0,
        }
        candidates = [
            s
            for s in self.rank_writers(job)
            if size_ratio <= max_size_ratio[s.role] or not self.live(READERS)
        ]
        return [
            s
            for s in candidates
            if not s.queued_tokens and self.expected_delay(s) <= SPILL_SHARE * job.cls.aim
        ]

    def expected_delay(self, server: Server) -> int:
        """Estimate the queue delay at a server, from our oldest waiting attempt and the last delay seen."""
        waiting_for = (
            self.now - oldest_waiting.sent_at - self.reading_time(oldest_waiting.unread_tokens)
            if (oldest_waiting := server.oldest_waiting)
            else 0
        )
        remaining_weight = server.queue_delay > 0 and 1 - (self.now - server.queue_delay_at) / (
            server.queue_delay + self.send_interval(server) / 3
        )
        return max(0, waiting_for, round(server.queue_delay * remaining_weight))

    def expected_read_time(self, job: Job, server: Server) -> int:
        """Estimate the time of a read, including the backlog at the reader.

        The request's own read time is weighted by the share of the reader's work that this router observes.
        """
        observed = observed_share(len(self.live(READERS)), self.settings.routers)
        own_time = round(observed * self.reading_time(self.unread_tokens(job, server)))
        return max(self.expected_delay(server), self.reading_time(server.queued_tokens)) + own_time

    def send_interval(self, server: Server) -> int:
        """Return the mean time between two of our sends to a server of this role."""
        rate = self.recent_sends[server.role is Role.READ].add(self.now, 0)
        return round(RATE_WINDOW * len(self.servers.by_role[server.role]) / max(1.0, rate))

    def reading_time(self, tokens: int) -> int:
        return round(tokens * SECOND / self.read_speed) if self.read_speed else 0

    def unread_tokens(self, job: Job, server: Server) -> int:
        """Estimate the tokens of a prompt that a server has yet to read."""
        return self.cached_tokens.unread_tokens(job, server)

    def path_averages(self, job: Job) -> tuple[MovingAverage, MovingAverage]:
        """Return the averages of TTFT and time per output token for a request's path and bucket.

        The path is local if the request is at its session's writer (`job.local_server`); a read at a fallback
        writer counts as remote. Buckets (see `Job.bucket`) separate requests that are not comparable.
        """
        if not job.bucket:
            writers = self.live(WRITERS)
            load = sum(server.streams for server in writers) / max(1, len(writers))
            self.streams_per_writer.add(load, AVERAGE_WEIGHT)
            long = job.request.prompt_tokens > (self.mean_prompt_tokens.value or 0)
            job.bucket = (long, job.new_tokens > job.output_tokens, load > self.streams_per_writer.value)
        return self.path_averages_by_bucket.setdefault(
            (job.bucket, job.local_server is not None), (MovingAverage(), MovingAverage())
        )

    def local_writer(self, job: Job) -> Server | None:
        """Return the writer that is to continue its session and read the prompt itself, or None.

        None means the path through a reader. Called once per request, at arrival: the result is
        `job.local_server`, and a retry takes the path through a reader. This is the first of the two ways in
        which a writer reads a prompt, and the only one that `path_averages` count as local; the other one is
        `fallback_writers`.
        """
        server = self.servers.get(job.session_record.writer) if job.session_record else None
        writers = self.available_servers(WRITERS, job.tenant_class)
        if (
            server not in writers
            or job.session_record.updated_at < server.sessions_valid_since
            or server.error_rate(self.now, ERROR_RATE_PRIOR) > HIGH_ERROR_RATE
        ):
            return None
        overloaded = server.streams > MAX_LOCAL_LOAD_RATIO * max(1, median(s.streams for s in writers))
        if overloaded or job.new_tokens >= MAX_LOCAL_NEW_SHARE * job.request.prompt_tokens:
            return None
        self.path_averages(job)
        local, remote = (
            self.path_averages_by_bucket.get((job.bucket, path), (MovingAverage(), MovingAverage()))
            for path in (True, False)
        )
        prefer_local = job.new_tokens < DEFAULT_LOCAL_NEW_TOKENS
        if all(mean.value is not None for mean in local + remote):
            ttft, pace = (
                (remote_mean.value - local_mean.value) / max(1, remote_mean.value)
                for local_mean, remote_mean in zip(local, remote, strict=True)
            )
            prefer_local = TTFT_WEIGHT * ttft + PACE_WEIGHT * pace > 0
        return server if prefer_local and self.rng.random() >= REMOTE_EXPLORATION_SHARE else None

    def rank_readers(self, job: Job) -> list[Server]:
        """Return the readers in order of preference.

        Cold readers that are due come first if the read is short enough for them, then the others in ring
        order from the prefix's position, then the readers over the bound of the backlog or the delay, sorted
        by expected end. Readers that failed this request or have a high error rate come after all others, in
        the same order.

        The more of all requests a prefix attracts, the more readers share it; the session selects one of
        them. A continued session is sent first to its last reader, which has most of it cached.
        """
        available = set(self.available_servers(READERS, job.tenant_class))
        ring = [s for s in self.ring.walk(job.request.prefix or job.request.session or "") if s in available]
        if job.request.prefix and ring:
            fanout = prefix_fanout(self.prefix_arrivals, job.request.prefix, len(ring), self.settings.routers)
            first = max(range(fanout), key=lambda n: stable_hash(f"{job.placement_key} {n}"))
            ring = ring[first:] + ring[:first]
        if job.session_record is not None:
            ring.sort(key=lambda s: s.entry.server != job.session_record.reader)
        max_delay = SPILL_SHARE * job.cls.aim
        backlog_bound = max(
            max_delay / SECOND * self.read_speed / self.settings.routers, self.mean_prompt_tokens.value or 0
        )
        within_bound = [
            s for s in ring if s.queued_tokens <= backlog_bound and self.expected_delay(s) <= max_delay
        ]
        over_bound = [s for s in ring if s not in within_bound]
        failed = [a.server for a in job.attempts if a.failed]
        # Cold readers are slower: a read that takes longer than this would not be done in time there.
        max_cold_time = max_delay * self.settings.cold_share
        cold_due = [
            s
            for s in within_bound
            if self.cold_due(s) and self.reading_time(self.unread_tokens(job, s)) < max_cold_time
        ]
        over_bound.sort(
            key=lambda s: (
                self.expected_delay(s) + self.reading_time(s.queued_tokens + self.unread_tokens(job, s))
            )
        )
        return sorted(
            within_bound + over_bound,
            key=lambda s: (
                s in failed or s.error_rate(self.now, ERROR_RATE_PRIOR) > HIGH_ERROR_RATE,
                s not in cold_due,
            ),
        )

    def rank_writers(self, job: Job) -> list[Server]:
        """Return the writers by cost: a reserved one first, those that failed or refused last.

        Each cost includes a random addition, so that routers choose different writers.
        """
        failed = {attempt.server for attempt in job.attempts if attempt.failed}
        order = {
            s: (
                s is not job.reserved_server,
                s in failed,
                s in job.requested_reservations,
                self.cost(job, s),
            )
            for s in self.available_servers(WRITERS, job.tenant_class)
        }
        return sorted(order, key=order.__getitem__)

    def cost(self, job: Job, server: Server) -> float:
        """Return the cost of a writer: memory use, queue delay, state transfer and expected errors.

        A writer that fails fast looks idle. The weight of its error rate keeps away requests that may not be
        repeated; those that may be repeated discover the failures.
        """
        cost = server.committed_tokens / server.memory if server.memory else float(server.streams)
        cost += self.expected_delay(server) / job.cls.aim + self.rng.uniform(0, COST_JITTER)
        cost += server.report_weight(self.now, REPORT_WINDOW) * (
            server.reported_memory_share - (self.memory_share[server.role].value or 0)
        )
        cost -= self.cold_due(server)
        cost += ERROR_COST[job.cls.effect] * server.error_rate(self.now, ERROR_RATE_PRIOR)
        if job.last_reader is None or job.last_reader.entry.cell == server.entry.cell:
            return cost
        return cost + (
            OTHER_CELL_COST if job.last_reader.entry.zone == server.entry.zone else OTHER_ZONE_COST
        )
