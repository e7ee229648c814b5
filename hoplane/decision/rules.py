"""Every decision of a router, and every table and tuned value; its interface is `interface.py`.

Sends pass `send`, ends `finish`, `settle` sees to what has nothing out; `docs/design.md` tells the rest."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from math import inf
from statistics import median

from . import interface as api
from .homes import homes, seen
from .interface import Effect, Group, Role, State, Status
from .kept import Kept
from .places import Places
from .probes import Trust
from .state import Attempt, Job, Mean, Rate, Ring, Row, Server, Servers, Timers, drop_before, mix
from .turns import Turns
from .words import Symptom, Word

MS, SECOND = 1_000_000, 1_000_000_000
READERS, WRITERS = (Role.READ, Role.BOTH), (Role.WRITE, Role.BOTH)
RISKY = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)  # at a writer it may have run

# The mechanism.
TTFT_WEIGHT, PACE_WEIGHT = 1.0, 1.0  # of the score's two halves, without unit
NEW_SHARE = 0.25  # local only where the new tokens are under this share of the prompt
BUSY_WRITER = 2.0  # local only up to this multiple of our median streams a writer
EMPTY_CELL_NEW = 2000  # tokens: what an empty cell still reads locally
REMOTE_SHARE = 0.03  # of local turns, sent the remote way to feed its averages
SHORT = 0.5  # multiple of the mean prompt up to which a prompt is short
ROOMY, ROOMY_SHORT = 0.15, 1.2  # askings in vain up to which writers have room, and that multiple then
IDLE = 120 * SECOND  # a session's row, and what a prefix drew, count no more after this
BLEND = 0.1  # weight of a new value in a running average
SPILL = 0.5  # a reader takes what it can read in this share of the aim, our part of it
POINTS, PAIRED = 16, 0.5  # a reader's points on the ring, and their least share where few writers are near
FORGET, TELLING = 0.98, 1000  # what is left of the best read speed with each read; tokens that the first has
OTHER_CELL, OTHER_ZONE = 0.8, 1.2  # writer's memories that a move out of the cell weighs, out of the zone
HOLDS = 4  # places asked for during a read
LATE, JAMMED, OVER_LATE = 0.9, 0.4, 0.4  # shares of the aim, waits that turn away: usual, jammed, over share
JAM, JAM_BLEND = 0.5, 0.03  # mean wait, in aims, that is a full jam; weight of a new request in that mean
CROWDED, AGAIN = 0.75, 0.6  # askings in vain past which no writer is idle; part of the limits for repeats

SILENT = 6.0  # multiple of the mean time of a stage, with no sign of life, that makes a server silent
SILENT_MIN = {True: 0.5, False: 1.5}  # and at least this multiple of the shortest aim, for reads and writes
CHECK, SILENT_ALIVE = 0.25, 1.5  # multiples of that aim: silence to probe at, and of one that answers probes
PASSED = 200 * MS  # what was sent so much before another that was answered is lost rather than in a queue
IDLE_WAITING, IDLE_HELD = 1.0, 0.8  # thousands of tokens, share of memory: under both no request has to wait
STALE = 400 * MS  # how old such a report may be
TOLD = 5 * SECOND  # how long the share of memory that a server told counts, fading
SPREAD = 0.2  # drawn and added to a writer's cost, lest all who heard the same meet at one
ERRORS, BRIEF = 2, 100 * MS  # failures in a row that make a server down; one that took longer does alone
DOUBT, DOUBTED = 0.04, 0.45  # part of errors thought of an unknown server, and past which others come first
DOUBT_COST = {Effect.SAFE: 1.0, Effect.KEYED: 1.0, Effect.UNSAFE: 8.0}  # that part's weight at a writer
ASIDE, ASIDE_MOST = SECOND, 8 * SECOND  # a dead or silent server stays aside, doubled up to the most
BEFORE, BETWEEN = 400 * MS, 400 * MS  # when it is probed before its return; least time between two probes
SWEEP = 50 * MS  # how often servers are looked over and waiting requests tried again
RATE_SPAN = 5 * SECOND  # what came lately came in this; what was told counts for a half to all of it


class Router:
    """The decisions of one router."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.rng, self.now = random.Random(seed), 0
        self.actions: list[api.Action] = []
        self.classes = {cls.name: cls for cls in settings.classes}
        self.quotas = {tenant.name: tenant.quota_per_s for tenant in settings.tenants}
        self.asked: dict[str, Rate] = {}
        self.drawn: dict[str, Rate] = {}  # requests by prefix, "" for all
        self.servers = Servers(settings.kinds)
        self.live = self.servers.live
        self.ring = Ring()
        self.jobs: dict[str, Job] = {}
        self.rows: dict[str, Row] = {}  # least lately used first
        self.cells: dict[tuple[tuple[bool, ...], bool], tuple[Mean, Mean]] = {}
        self.pairs = [None, *((tenant, name) for tenant in (None, *self.quotas) for name in self.classes)]
        self.stage = {True: Mean(), False: Mean()}  # a read's time, and a write's to its first token
        self.sends = {True: Rate(RATE_SPAN), False: Rate(RATE_SPAN)}  # reads and writes sent
        self.prompts = Mean()
        self.jam = Mean()  # what requests had to wait as they came, in aims
        self.held = {role: Mean() for role in Role}  # shares of memory that servers told
        self.streams = Mean()  # our streams a writer
        self.places, self.kept, self.trust = Places(RATE_SPAN), Kept(wary=settings.retry_after), Trust()
        self.turns = Turns(RATE_SPAN)
        self.speed = 0.0  # tokens a second that a reader reads at its best
        self.timers = Timers()
        self.sweeping = self.watching = False
        self.handlers: dict[type, Callable[..., Job | None]] = {
            api.ServerListUpdate: self.on_fleet,
            api.Request: self.on_request,
            api.FirstToken: self.on_first,
            api.ReservationResult: self.on_place,
            api.Outcome: self.on_outcome,
            api.ClientDisconnected: self.on_gone,
            api.PeerMessage: self.on_peer,
            api.ProbeResult: self.on_probed,
            api.TimerFired: lambda event: self.timers.fire(event.timer),
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take an event and give the actions that it calls for, in order; what was not asked for is left."""
        self.now, self.actions = now, []
        if handler := self.handlers.get(type(event)):
            self.settle(handler(event))
        return self.actions

    def on_fleet(self, event: api.ServerListUpdate) -> None:
        """Bring the list level. A whole list also removes what it leaves out."""
        self.watch()
        if event.entries is None:
            self.watching = False
            self.after(SECOND, self.watch)
            return
        self.servers.update(event, self.now)
        cells = Counter((s.role, s.entry.cell) for s in self.live(Role))
        even = len(self.live((Role.READ,))) / max(1, len(self.live((Role.WRITE,))))
        near = {cell: even * cells[Role.WRITE, cell] / max(1, cells[Role.READ, cell]) for _, cell in cells}
        own = {Role.READ: lambda cell: max(PAIRED, near[cell]), Role.BOTH: lambda cell: even / 2 or 1.0}
        for server in self.servers.values():
            server.credit = self.rng.random() if server.credit is None else server.credit
        self.ring = Ring((s, round(POINTS * min(1.0, own[s.role](s.entry.cell)))) for s in self.live(READERS))

    def watch(self) -> None:
        if self.settings.must_subscribe and not self.watching:
            self.watching = True
            self.actions.append(api.SubscribeServerList())

    def on_request(self, event: api.Request) -> Job | None:
        """Take a request; a timer backs its deadline, a tick early so that the answer is in time."""
        cls = self.classes.get(event.cls)
        if cls is None or event.request_id in self.jobs:
            return None
        row = self.rows.get(event.session or event.prefix or "")
        job = Job(event, cls, self.now, self.now + event.time_left, row, self.settings.max_attempts)
        self.jobs[event.request_id] = job
        self.prompts.add(event.prompt_tokens, BLEND)
        self.turns.came.add(self.now, not event.retry)
        self.asked.setdefault(event.tenant or "", Rate(RATE_SPAN)).add(self.now, not event.retry)
        for prefix in dict.fromkeys(("", event.prefix or "")):
            self.drawn[prefix] = self.drawn.pop(prefix, Rate(IDLE))
            self.drawn[prefix].add(self.now)
        span = max(0, event.time_left - self.settings.tick)
        self.after(span, lambda: job if job.settled else self.finish(job))
        if not self.sweeping:
            self.sweeping = True
            self.after(SWEEP, self.sweep)
        job.local = self.local_writer(job)
        return job

    def on_first(self, event: api.FirstToken) -> None:
        if (attempt := self.servers.attempt(event)) is None:
            return
        job, server = attempt.job, attempt.server
        attempt.began, job.first_at, job.state_at = True, self.now, None
        self.alive(attempt)
        self.waited(server, self.now - attempt.sent, attempt.unread)
        self.stage[False].add(self.now - attempt.sent, BLEND)
        self.cell(job)[0].add(self.now - job.arrived, BLEND)

    def on_place(self, event: api.ReservationResult) -> None:
        """Note a place that is held; where it is not, the next writer is asked."""
        attempt = self.servers.attempt(event)
        if attempt is None or not (job := attempt.job).asked:
            return
        self.places.add(self.now, event.reserved)
        if event.reserved and not job.ended:
            job.place = job.place or job.asked[-1]
        elif not (job.place or job.ended):
            self.hold(job)

    def hold(self, job: Job) -> None:
        """Ask for a place at the writer of our choice during the read, so that its state flows early.

        Guards against writers that others filled unseen. May harm where long reads leave places empty."""
        for server in (
            self.writers(job)[:HOLDS] if self.settings.reserve_ahead and len(job.asked) < HOLDS else []
        ):
            if server not in job.asked and self.cold_room(server):
                server.credit = 0.0
                job.asked.append(server)
                self.actions.append(api.Reserve(job.request.request_id, server.entry.server))
                return

    def on_outcome(self, event: api.Outcome) -> Job | None:
        """Take an attempt's end in: what it tells of the server, of the request and of the averages."""
        if (attempt := self.servers.attempt(event)) is None:
            return None
        job, server, status = attempt.job, attempt.server, event.status
        self.heed(event)
        attempt.drop()
        attempt.risky = not attempt.reads and status in RISKY
        attempt.failed = status in (*RISKY, Status.CONNECT_FAILED)
        job.ended = job.ended or event.closed
        if status in (Status.OK, Status.MISS):
            self.alive(attempt)
        elif status in (Status.CONNECT_FAILED, Status.RESET, Status.ERROR):
            self.failed(server, event)
        elif status in (Status.CANCELLED, Status.TIMEOUT) and attempt.reads and not attempt.passed:
            # It waited longer still.
            self.waited(server, event.elapsed, attempt.unread)
        elif status is Status.FULL and event.detail != 1:
            self.note(Symptom.FULL, server, job.pair)
        if status is Status.MISS:
            self.learn_read(attempt, event)
        elif status is Status.OK and job.first_at is not None:
            self.learn_answer(job, server, event)
        elif status is Status.FULL and event.detail == 1:
            job.state_at = None
        job.local = None
        if status is not Status.MISS and job.asked:
            self.release(job)
        return job

    def heed(self, event: api.Outcome | api.ProbeResult) -> None:
        """Note the memory that a server reports as held: our own part of it tells too little."""
        held = event.load.get(self.settings.held_memory_field)
        if held is not None and (server := self.servers.get(event.server)):
            server.told_at, server.told_held = self.now, held
            self.held[server.role].add(server.told_held, BLEND)

    def failed(self, server: Server, event: api.Outcome) -> None:
        """Hold a server to be down when it fails twice in a row, or breaks after a wait that hurts.

        Guards against one that fails at once, and so seems least busy, and against giving up well servers for
        a lone reset. A connection kept from before tells nothing: it may have been closed as idle."""
        if event.status is not Status.ERROR and event.detail == api.SERVER_NOT_AT_FAULT:
            return
        server.errors += 1
        refused = event.status is Status.CONNECT_FAILED and event.elapsed <= BRIEF
        server.bad.add(self.now, refused or event.status is Status.ERROR)
        if server.errors >= ERRORS or (event.status is not Status.ERROR and event.elapsed > BRIEF):
            self.note(Symptom.DOWN, server)

    def learn_read(self, attempt: Attempt, event: api.Outcome) -> None:
        """Record a finished read: where the state waits, the reader's speed and its wait.

        One that kept little of what it had read has lost the rest too: what waits there is read whole."""
        job, server = attempt.job, attempt.server
        if 2 * event.detail < job.request.prompt_tokens - self.kept.raw(job, server):
            server.forget(self.now)
        job.state_at, job.state_since, job.reader = server, self.now, server
        self.stage[True].add(event.elapsed, BLEND)
        unread = max(0, job.request.prompt_tokens - event.detail)
        self.kept.learn(job, server, unread, self.now)
        if unread >= TELLING or self.speed:
            self.speed = max(unread * SECOND / max(1, event.elapsed), self.speed * FORGET)
        self.waited(server, event.elapsed, unread)
        server.prefixes.pop(job.request.prefix or "", None)
        server.prefixes[job.request.prefix or ""] = Rate(IDLE, at=self.now)
        drop_before(server.prefixes, self.now - IDLE)

    def learn_answer(self, job: Job, server: Server, event: api.Outcome) -> None:
        """Record a finished answer: the session's row, the cell's pace, and whether the writer kept its part.

        Few kept at a local turn (flush, restart, no memory) void its older rows (harms if one was lost)."""
        self.cell(job)[1].add((self.now - job.first_at) / job.answer, BLEND)
        key = job.request.session or job.request.prefix or ""
        self.rows.pop(key, None)
        self.rows[key] = job.next_row(server, self.now)
        if job.local is not None and 2 * event.detail < job.request.prefix_len:
            server.kept_since = job.arrived

    def on_gone(self, event: api.ClientDisconnected) -> Job | None:
        if job := self.jobs.get(event.request_id):
            job.ended = True
            self.cancel(job.out)
        return job

    def after(self, span: int, callback: Callable[[], Job | None]) -> None:
        self.actions.append(api.SetTimer(self.now + span, self.timers.add(callback)))

    def alive(self, attempt: Attempt) -> None:
        server = attempt.server
        self.trust.shows(server)
        server.passed = max(server.passed, attempt.sent - PASSED)
        server.heard, server.strikes, server.aside_until, server.errors = self.now, 0, 0, 0
        server.good.add(self.now)

    def waited(self, server: Server, took: int, unread: int) -> None:
        server.lag, server.lag_at = took - self.reading_time(unread), self.now

    def note(self, symptom: Symptom, server: Server, pair: object = None, told: bool = False) -> None:
        """Heed what was met at a server, here or by a peer that told; tell all others what was met here.

        Guards against each of many routers paying a request for each bad server. What was told fades soon and
        at a random moment, so that a few try again. May harm where a server was bad for a moment only."""
        most = RATE_SPAN * self.rng.uniform(0.5, 1) if told else IDLE
        until = self.now + round(min(self.interval(server), most))
        if symptom is Symptom.FULL:
            server.full[pair] = max(server.full.get(pair, 0), until)
        else:
            self.strike(server, sure=True)
        if self.settings.peers and not told and pair in self.pairs:
            word = Word(symptom, server.entry.server, self.pairs.index(pair))
            self.actions.append(api.SendPeerMessage(None, word.pack()))

    def on_peer(self, event: api.PeerMessage) -> None:
        word = Word.read(event.data)
        server = self.servers.get(word.server) if word else None
        if server and word.pair < len(self.pairs):
            self.note(word.symptom, server, self.pairs[word.pair], told=True)

    def strike(self, server: Server, sure: bool, again: bool = False) -> bool:
        """Set a server aside, longer each time in a row; just before its return it is probed.

        Guards against dead and hung servers. Silence may be mere load: it takes at most half of a role."""
        live = self.live((server.role,))
        well = [s for s in live if self.now >= s.aside_until and s is not server]
        if (self.now < server.aside_until and not again) or not (sure or 2 * len(well) >= len(live)):
            return False
        server.strikes += 1
        span = min(ASIDE << (server.strikes - 1), ASIDE_MOST)
        server.aside_until = self.now + span
        if self.settings.probes:
            self.after(span - BEFORE, lambda: self.probe(server))
        return True

    def sweep(self) -> None:
        """Find servers gone silent with work taken, hung or cut off; drop idle rows; try waiting work.

        A long jam looks alike: a stage's mean learns from what is given up; what may not run again waits."""
        waiting = [job for job in self.jobs.values() if not job.settled]
        for server in dict.fromkeys(attempt.server for job in waiting for attempt in job.out):
            if oldest := server.oldest:
                silent = self.now - max(oldest.sent, server.heard)
                if silent > self.patience(oldest) and self.strike(server, sure=False):
                    self.stage[oldest.reads].add(self.now - oldest.sent, BLEND)
                    self.give_up(server)
                elif silent > CHECK * min(cls.aim for cls in self.settings.classes):
                    self.probe(server)
        for attempt in [a for job in waiting for a in job.out if a.passed and not a.failed]:
            repeatable = attempt.reads or attempt.job.cls.effect is Effect.SAFE
            if repeatable and self.now - attempt.sent > self.patience(attempt):
                attempt.failed = True
                self.cancel([attempt])
        for table in (self.rows, self.drawn):
            drop_before(table, self.now - IDLE)
        for job in waiting:
            self.settle(job)
        self.sweeping = bool(waiting)
        if self.sweeping:
            self.after(SWEEP, self.sweep)

    def give_up(self, server: Server) -> None:
        """Cancel what is out at a server and may run again."""
        self.cancel(a for a in server.out.values() if a.reads or a.job.cls.effect is Effect.SAFE)

    def probe(self, server: Server) -> None:
        """Ask a listed server for a sign of life, not again and again in one silence."""
        if self.settings.probes and server in self.servers.values() and self.now - server.probed >= BETWEEN:
            server.probed = self.now
            self.actions.append(api.Probe(server.entry.server))

    def on_probed(self, event: api.ProbeResult) -> None:
        """Leave a server that shows no sign of life at once; one that does may be jammed, and is given time.

        Guards against a jam that looks like a cut-off machine, and against requests that wait at one. Where
        it reports that hardly anything waits, what we wait for there is lost, as its connection is silent."""
        if (server := self.servers.get(event.server)) is None:
            return
        self.heed(event)
        unheard = event.status is Status.TIMEOUT and self.trust.heeds(server)
        if unheard or event.status is Status.CONNECT_FAILED:
            if self.now < server.aside_until:
                self.strike(server, sure=True, again=True)
            else:
                self.note(Symptom.DOWN, server)
            self.give_up(server)
        elif event.status not in (Status.RESET, Status.TIMEOUT):
            self.trust.answered(server)
            server.answered = self.now
            waiting, held = map(
                event.load.get, (self.settings.waiting_tokens_field, self.settings.held_memory_field)
            )
            idle = waiting is not None and waiting < IDLE_WAITING and (held or 0) < IDLE_HELD
            server.idle_at = self.now - STALE if idle else 0

    def patience(self, attempt: Attempt) -> float:
        """Give how long an attempt may go without a sign of life before it is held to be lost.

        Guards against servers that answer all but some requests, which then wait till their time is up. One
        that others have passed has half an aim and the time that all of our reads before it may take."""
        server, ahead = attempt.server, [attempt]
        least = SILENT_ALIVE if server.answered > attempt.sent else SILENT_MIN[attempt.reads]
        if attempt.passed:
            least = SILENT_MIN[True]
            ahead = [a for a in server.out.values() if a.reads and a.sent <= attempt.sent]
        least *= min(cls.aim for cls in self.settings.classes)
        tokens = sum(a.job.request.prompt_tokens if attempt.passed else a.unread for a in ahead)
        return max(SILENT * (self.stage[attempt.reads].value or 0), least) + self.reading_time(tokens)

    def usable(self, roles: tuple[Role, ...], pair: tuple[str | None, str] = (None, "")) -> list[Server]:
        """Give the servers that may have new work; one that has failed gets a single request on trial.

        One that was full for a tenant and class gets nothing of theirs: it may have room for others."""
        return [s for s in self.live(roles) if self.now >= s.opens(pair) and not (s.strikes and s.out)]

    def settle(self, job: Job | None) -> None:
        """See to it that a request with no attempt out has sent, waits within its limits, or has ended."""
        if job is None or job.out or self.jobs.get(job.request.request_id) is not job:
            return
        if not job.ended:
            self.advance(job)
        if job.ended and not job.out:
            self.release(job)
            del self.jobs[job.request.request_id]

    def advance(self, job: Job) -> None:
        """Take the next step of the path, wait for one, or end the request."""
        spent = self.now >= job.deadline - self.settings.tick or not self.may_send(job, None)
        over = spent or self.stranded(job)
        due = job.state_since + (self.settings.release_within or IDLE) - 2 * SWEEP  # a state waits until then
        if not over and job.state_at is None and self.late(job):
            over = not self.send_first(job, self.escape(job), reads=False)
        elif not over and not self.step(job) and job.state_at is not None and self.now > due:
            self.release(job)
        if over:
            self.finish(job)

    def step(self, job: Job) -> bool:
        """Send the request where its path leads next."""
        if job.state_at is not None:
            return self.send_first(job, self.writers(job), reads=False)
        if job.local is not None and self.send(job, job.local, reads=False):
            return True
        job.local = None
        if self.scarce() and not any(map(self.due, self.live(WRITERS))):
            return False  # no read for a state that no writer would take before it has to be let go
        read = self.send_first(job, self.readers(job), reads=True)
        return read or self.send_first(job, self.escape(job), reads=False)

    def send_first(self, job: Job, servers: list[Server], reads: bool) -> bool:
        return any(self.send(job, server, reads and server.role is Role.READ) for server in servers)

    def release(self, job: Job) -> None:
        """Let go of what may be held for a request."""
        if any(attempt.reads for attempt in job.attempts):
            self.actions.append(api.Release(job.request.request_id))
        job.state_at = job.place = None
        job.asked.clear()

    def finish(self, job: Job) -> Job:
        """Give the final answer: refused where that is known to be harmless, else failed."""
        cls, request = job.cls, job.request.request_id
        harmless = not job.out and not any(attempt.risky for attempt in job.attempts)
        pause = min(max(0, job.pause), self.settings.retry_after and self.settings.max_retry_after or 0)
        self.actions.append(api.Refuse(request, pause) if harmless or cls.repeatable else api.Fail(request))
        job.ended = True
        self.cancel(job.out)
        return job

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        if self.settings.cancel:
            self.actions.extend(
                api.Cancel(a.job.request.request_id, a.index) for a in attempts if not a.began
            )

    def may_send(self, job: Job, server: Server | None) -> bool:
        """Tell whether attempts, copies and effects allow another send, anywhere or to this server."""
        cap, cls = job.cap, job.cls
        copy = not job.out or (self.settings.second_copies and cls.effect is Effect.SAFE)
        if job.ended or (cap and len(job.attempts) >= cap) or not copy:
            return False
        risky = [attempt for attempt in job.attempts if attempt.risky]
        if not risky or cls.effect is Effect.SAFE:
            return True
        if cls.effect is Effect.UNSAFE or self.now + self.settings.tick >= risky[0].sent + cls.window:
            return False
        same = {Group.ALL: lambda e: 0, Group.ZONE: lambda e: e.zone, Group.CELL: lambda e: e.cell}[cls.group]
        return server is None or all(same(a.server.entry) == same(server.entry) for a in risky)

    def send(self, job: Job, server: Server, reads: bool) -> bool:
        """Send, unless a rule forbids it: the gate for drains, cold servers, attempts, copies and effects."""
        allowed = server.entry.state is State.LIVE and self.may_send(job, server)
        if not (allowed and (server is job.place or self.cold_room(server))):
            return False
        server.credit = server.credit if server is job.place else 0.0
        unread = self.unread(job, server) if job.state_at is None else 0
        held = 0 if reads else job.request.prompt_tokens + job.request.max_output_tokens
        Attempt(job, len(job.attempts), server, reads, held, unread, self.now).take()
        self.sends[reads].add(self.now)
        self.turns.book(server.entry.server)
        self.actions.append(api.Send(job.request.request_id, server.entry.server))
        if reads:
            job.near = server
            if self.scarce() or self.places.wanted(self.now, self.settings.probe_price, self.rng):
                self.hold(job)  # which keeps a cold writer's turn for this request
        return True

    def cold_room(self, server: Server) -> bool:
        """Tell whether a server is warm or has its turn."""
        peers, sent = len(self.live((server.role,))), self.sends[server.role is Role.READ]
        return self.turns.room(server, self.now, self.settings, sent, peers)

    def scarce(self) -> bool:  # all writers are cold
        return self.turns.scarce(self.live(WRITERS), self.now, self.settings)

    def due(self, server: Server) -> bool:  # a cold one's turn has come
        return server.warmth(self.now, self.settings.cold) < 1 and self.cold_room(server)

    def late(self, job: Job) -> bool:
        """Tell, by the servers given work of late, whether waits make a request late; over-share ones first.

        Repeats too, as nobody tells how old they are. Clients are told to stay away while the wait lasts.
        With no read out, nor one of late, one is sent, lest a slow one of old refuse all for ever."""
        parts = [[job.local]] if job.local else [self.usable((role,)) for role in (Role.READ, Role.WRITE)]
        met = ([self.delay(s) for s in part if s.oldest or self.now < s.lag_at + RATE_SPAN] for part in parts)
        waits = [median(each) if each else 0 for each in met]
        if not job.local and (readers := self.readers(job)):
            waits[0] = self.read_end(job, readers[0])
        wait = sum(waits) + self.places.crowding(self.now) ** HOLDS * job.aim
        tenant = job.request.tenant or ""
        due = (self.quotas.get(tenant) or inf) * RATE_SPAN / SECOND / self.settings.routers
        if self.now == job.arrived:
            self.jam.add(min(1.0, wait / job.aim), JAM_BLEND)
        limit = LATE - (LATE - JAMMED) * min(1.0, (self.jam.value or 0) / JAM)
        if self.asked[tenant].count > due + due**0.5:  # more than chance brings
            limit = min(limit, OVER_LATE)
        late = self.now - job.arrived + wait
        job.pause = round(late - limit * job.aim)
        limit *= AGAIN if job.request.retry and self.settings.retry_after else 1
        told = job.local or any(s.oldest or self.now < s.lag_at + RATE_SPAN for s in self.live(READERS))
        return bool(told) and late > limit * job.aim

    def stranded(self, job: Job) -> bool:
        """Tell whether no server of a stage ahead takes a request before it would be late: it waits in vain.

        Guards against holding on to what is lost when servers are gone, dead or full all together."""
        last = max(self.now, job.arrived + round(LATE * job.aim))
        stages = [WRITERS, READERS if not (job.state_at or self.settings.writers_read) else Role]
        ready = ((s.opens(job.pair) for s in self.live(roles)) for roles in stages)
        opens = max(min(times, default=last + SECOND) for times in ready)
        job.pause = opens - self.now
        return opens > last

    def escape(self, job: Job) -> list[Server]:
        """Give the writers that may read a request themselves where readers jam or are gone.

        Short prompts only (mixed: up to the mean), where none of ours waits and places are found; longer
        ones while nearly each place asked for is held, as reading slows a writer's answers."""
        crowding = self.places.crowding(self.now)
        if not self.settings.writers_read or job.local is not None or crowding > CROWDED:
            return []
        size = job.request.prompt_tokens / (self.prompts.value or 1)
        most = {Role.WRITE: SHORT if crowding > ROOMY else ROOMY_SHORT, Role.BOTH: 1.0}
        fit = [s for s in self.writers(job) if size <= most[s.role] or not self.live(READERS)]
        return [s for s in fit if not s.waiting and self.delay(s) <= SPILL * job.cls.aim]

    def delay(self, server: Server) -> int:
        """Guess how long new work waits at a server: as our oldest there does, or as the last one did."""
        waits = self.now - oldest.sent - self.reading_time(oldest.unread) if (oldest := server.oldest) else 0
        fading = server.lag > 0 and 1 - (self.now - server.lag_at) / (server.lag + self.interval(server) / 3)
        return max(0, waits, round(server.lag * fading))

    def read_end(self, job: Job, server: Server) -> int:
        """Guess how long a read would take, with what waits there; its own time counts as far as known."""
        known = seen(len(self.live(READERS)), self.settings.routers)
        own = round(known * self.reading_time(self.unread(job, server)))
        return max(self.delay(server), self.reading_time(server.waiting)) + own

    def interval(self, server: Server) -> int:
        """Give the mean time between two of our sends to a server of this role."""
        rate = self.sends[server.role is Role.READ].add(self.now, 0)
        return round(RATE_SPAN * len(self.servers.by_role[server.role]) / max(1.0, rate))

    def reading_time(self, tokens: int) -> int:
        return round(tokens * SECOND / self.speed) if self.speed else 0

    def unread(self, job: Job, server: Server) -> int:
        """Guess how much of a prompt a server has yet to read."""
        return self.kept.unread(job, server)

    def cell(self, job: Job) -> tuple[Mean, Mean]:
        """Give first-token and pace averages of a path, by context, new tokens over output, and load."""
        if not job.cell:
            writers = self.live(WRITERS)
            load = sum(server.streams for server in writers) / max(1, len(writers))
            self.streams.add(load, BLEND)
            long = job.request.prompt_tokens > (self.prompts.value or 0)
            job.cell = (long, job.new > job.answer, load > self.streams.value)
        return self.cells.setdefault((job.cell, job.local is not None), (Mean(), Mean()))

    def local_writer(self, job: Job) -> Server | None:
        """Decide on a later turn: give the writer that shall read it, or None for the reader path."""
        server = self.servers.get(job.row.writer) if job.row else None
        writers = self.usable(WRITERS, job.pair)
        if server not in writers or job.row.at < server.kept_since or server.doubt(self.now, DOUBT) > DOUBTED:
            return None
        busy = server.streams > BUSY_WRITER * max(1, median(s.streams for s in writers))
        if busy or job.new >= NEW_SHARE * job.request.prompt_tokens:
            return None
        self.cell(job)
        local, remote = (self.cells.get((job.cell, path), (Mean(), Mean())) for path in (True, False))
        near = job.new < EMPTY_CELL_NEW
        if all(mean.value is not None for mean in local + remote):
            ttft, pace = ((r.value - n.value) / max(1, r.value) for n, r in zip(local, remote, strict=True))
            near = TTFT_WEIGHT * ttft + PACE_WEIGHT * pace > 0
        return server if near and self.rng.random() >= REMOTE_SHARE else None

    def readers(self, job: Job) -> list[Server]:
        """Give the readers in ring order from the prefix's home, those past the bound last, by earliest end.

        A prefix has more homes the more it draws of all requests; the session picks one. A session goes back
        first to the reader that read it, which keeps most of it."""
        well = set(self.usable(READERS, job.pair))
        ring = [s for s in self.ring.walk(job.request.prefix or job.request.session or "") if s in well]
        if job.request.prefix and ring:
            shared = homes(self.drawn, job.request.prefix, len(ring), self.settings.routers)
            first = max(range(shared), key=lambda n: mix(f"{job.spot} {n}"))
            ring = ring[first:] + ring[:first]
        if job.row is not None:
            ring.sort(key=lambda s: s.entry.server != job.row.reader)
        slack = SPILL * job.cls.aim
        bound = max(slack / SECOND * self.speed / self.settings.routers, self.prompts.value or 0)
        room = [s for s in ring if s.waiting <= bound and self.delay(s) <= slack]
        past = [s for s in ring if s not in room]
        failed = [a.server for a in job.attempts if a.failed]
        short = slack * self.settings.cold_share  # what a cold one takes longer for comes no more in time
        due = [s for s in room if self.due(s) and self.reading_time(self.unread(job, s)) < short]
        past.sort(key=lambda s: self.delay(s) + self.reading_time(s.waiting + self.unread(job, s)))
        return sorted(
            room + past, key=lambda s: (s in failed or s.doubt(self.now, DOUBT) > DOUBTED, s not in due)
        )

    def writers(self, job: Job) -> list[Server]:
        """Give the writers: a held place first, what failed or refused last, ties drawn lest all meet."""
        failed = {attempt.server for attempt in job.attempts if attempt.failed}
        order = {
            s: (s is not job.place, s in failed, s in job.asked, self.cost(job, s))
            for s in self.usable(WRITERS, job.pair)
        }
        return sorted(order, key=order.__getitem__)

    def cost(self, job: Job, server: Server) -> float:
        """Weigh a writer: our part of its memory, its wait, the state's move, and the errors to expect.

        Guards bookings against writers that fail fast, so seem idle: what may run again finds them out."""
        cost = server.held / server.memory if server.memory else float(server.streams)
        cost += self.delay(server) / job.cls.aim + self.rng.uniform(0, SPREAD)
        cost += server.freshness(self.now, TOLD) * (server.told_held - (self.held[server.role].value or 0))
        cost -= self.due(server)
        cost += DOUBT_COST[job.cls.effect] * server.doubt(self.now, DOUBT)
        if job.near is None or job.near.entry.cell == server.entry.cell:
            return cost
        return cost + (OTHER_CELL if job.near.entry.zone == server.entry.zone else OTHER_ZONE)
