"""Keeps one lease: makes the calls that `choice.py` asks for, and tells a task whether it may act."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from datetime import timedelta

from hoplane import structured_log

from .choice import (
    Ask,
    Begin,
    Effect,
    End,
    Event,
    Failed,
    Freed,
    Gone,
    Holder,
    Renew,
    Renewed,
    Revoke,
    Stop,
    Taken,
    Terms,
    Tick,
    Watch,
    Won,
)
from .etcd import Etcd, NoLease, Unheard

Clock = Callable[[], timedelta]


def clock(rate: float = 1.0) -> Clock:
    """Give a monotonic clock; `rate` is for drills, how fast it runs against the true one."""
    return lambda: timedelta(seconds=time.monotonic() * rate)


class Keeper:
    """One lease of one process: `run` keeps it, `act` guards each act under it."""

    def __init__(self, key: str, name: str, terms: Terms, engine: Etcd, now: Clock, seed: int) -> None:
        self.key, self.name, self.terms, self.engine, self.now = key.encode(), name, terms, engine, now
        self.holder = Holder(terms, seed)
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.tasks: set[asyncio.Task] = set()
        self.watch: asyncio.Task | None = None
        self.acting, self.idle = 0, asyncio.Event()
        self.idle.set()
        self.began = asyncio.Event()  # set while the lease is held
        self.ended = asyncio.Event()
        self.log = structured_log.make_logger(task=key, name=name)
        self.counts = {"won": 0, "lost": 0, "renewed": 0, "unrenewed": 0}

    async def run(self) -> None:
        """Keep the lease until `stop`."""
        self.perform(self.holder.take(self.now(), Tick()))
        while True:
            wake = self.holder.wake()
            left = None if wake is None else max(0.0, (wake - self.now()).total_seconds())
            event: Event = Tick()
            with suppress(TimeoutError):
                event = await asyncio.wait_for(self.events.get(), left)
            self.perform(self.holder.take(self.now(), event))
            if isinstance(event, Stop):
                self.ended.set()
                return

    async def stop(self) -> None:
        """Give the lease back, if it is held, and end; waits for the act under way and one call."""
        self.events.put_nowait(Stop())
        await self.ended.wait()
        if self.watch:
            self.watch.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=(self.terms.act + self.terms.renew).total_seconds())
        for task in self.tasks:
            task.cancel()

    @asynccontextmanager
    async def act(self):
        """Guard one act: gives the fencing token, or None where no act may begin now.

        The act has to be over within `terms.act`; the lease is not given back while it is under way."""
        token = self.holder.may_act(self.now())
        if token is None:
            yield None
            return
        self.acting += 1
        self.idle.clear()
        try:
            yield token
        finally:
            self.acting -= 1
            if not self.acting:
                self.idle.set()

    def perform(self, effects: list[Effect]) -> None:
        """Make the calls, each in a task of its own."""
        for effect in effects:
            match effect:
                case Ask(sent):
                    self.start(self.ask(sent))
                case Renew(sent, lease):
                    self.start(self.renew(sent, lease))
                case Revoke(lease):
                    self.start(self.revoke(lease))
                case Watch(revision):
                    if self.watch:
                        self.watch.cancel()
                    self.watch = self.start(self.wait(revision))
                case Begin(token):
                    self.counts["won"] += 1
                    self.began.set()
                    self.log.info("lease_won", token=token)
                case End(token, reason):
                    self.counts["lost"] += 1
                    self.began.clear()
                    self.log.info("lease_lost", token=token, reason=reason)

    def start(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def ask(self, sent: timedelta) -> None:
        lease = 0
        try:
            lease = await self.engine.grant(round(self.terms.ttl.total_seconds()))
            ours, revision, holder = await self.engine.take(self.key, self.name.encode(), lease)
        except (Unheard, NoLease) as error:
            self.log.info("lease_unasked", error=repr(error))
            self.events.put_nowait(Failed(sent, lease))
            return
        if ours:
            self.events.put_nowait(Won(sent, lease, revision))
        else:
            self.events.put_nowait(Taken(sent, lease, revision, holder))

    async def renew(self, sent: timedelta, lease: int) -> None:
        try:
            await self.engine.keepalive(lease)
        except NoLease:
            self.events.put_nowait(Gone(sent, lease))
        except Unheard as error:
            self.counts["unrenewed"] += 1
            self.log.info("lease_unrenewed", error=str(error))
            self.events.put_nowait(Failed(sent, lease))
        else:
            self.counts["renewed"] += 1
            self.events.put_nowait(Renewed(sent, lease))

    async def revoke(self, lease: int) -> None:
        await self.idle.wait()
        with suppress(Unheard, NoLease):
            await self.engine.revoke(lease)

    async def wait(self, revision: int) -> None:
        """Tell when the key is gone; where the watch breaks, the key is asked for again in time."""
        try:
            await self.engine.gone(self.key, revision)
        except Unheard:
            return
        self.events.put_nowait(Freed())
