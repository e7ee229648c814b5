"""Leader election on one lease: runs the effects of `state_machine.py` and guards actions by the lease."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from datetime import timedelta

from hoplane import structured_log

from .etcd import EtcdClient, EtcdUnavailable, LeaseNotFound
from .state_machine import (
    Acquired,
    CallFailed,
    Campaign,
    Effect,
    Event,
    HeldByOther,
    KeyDeleted,
    LeaseExpired,
    LeaseStateMachine,
    LeaseTerms,
    Renew,
    Renewed,
    Revoke,
    Stop,
    TenureEnded,
    TenureStarted,
    Tick,
    Watch,
)

Clock = Callable[[], timedelta]


def monotonic_clock(rate: float = 1.0) -> Clock:
    """Return a monotonic clock. `rate` simulates clock drift in drills: 1.01 runs one percent fast."""
    return lambda: timedelta(seconds=time.monotonic() * rate)


class LeaderElector:
    """Campaigns for one lease on behalf of one process.

    `run` acquires and renews the lease, and `guard_action` protects each action under it."""

    def __init__(
        self, key: str, name: str, terms: LeaseTerms, etcd: EtcdClient, now: Clock, seed: int
    ) -> None:
        self.key, self.name, self.terms, self.etcd, self.now = key.encode(), name, terms, etcd, now
        self.machine = LeaseStateMachine(terms, seed)
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.tasks: set[asyncio.Task] = set()
        self.watch_task: asyncio.Task | None = None
        self.running_actions, self.no_action_running = 0, asyncio.Event()
        self.no_action_running.set()
        self.leading = asyncio.Event()  # set while the lease is held
        self.stopped = asyncio.Event()
        self.log = structured_log.make_logger(task=key, name=name)
        self.counts = {"won": 0, "lost": 0, "renewed": 0, "unrenewed": 0}

    async def run(self) -> None:
        """Campaign for the lease and renew it until `stop`."""
        self.perform(self.machine.handle(self.now(), Tick()))
        while True:
            next_wakeup = self.machine.next_wakeup()
            timeout = None if next_wakeup is None else max(0.0, (next_wakeup - self.now()).total_seconds())
            event: Event = Tick()
            with suppress(TimeoutError):
                event = await asyncio.wait_for(self.events.get(), timeout)
            self.perform(self.machine.handle(self.now(), event))
            if isinstance(event, Stop):
                self.stopped.set()
                return

    async def stop(self) -> None:
        """Revoke the lease if it is held, and stop. Waits for a running action and for one call."""
        self.events.put_nowait(Stop())
        await self.stopped.wait()
        if self.watch_task:
            self.watch_task.cancel()
        if self.tasks:
            await asyncio.wait(
                self.tasks, timeout=(self.terms.action_timeout + self.terms.renew_interval).total_seconds()
            )
        for task in self.tasks:
            task.cancel()

    @asynccontextmanager
    async def guard_action(self):
        """Guard one action: yields the fencing token, or None if no action may start now.

        The action has to end within `terms.action_timeout`. The lease is not revoked while it runs."""
        token = self.machine.token_for_action(self.now())
        if token is None:
            yield None
            return
        self.running_actions += 1
        self.no_action_running.clear()
        try:
            yield token
        finally:
            self.running_actions -= 1
            if not self.running_actions:
                self.no_action_running.set()

    def perform(self, effects: list[Effect]) -> None:
        """Execute effects; each call runs in its own task."""
        for effect in effects:
            match effect:
                case Campaign(sent_at):
                    self.spawn(self.campaign(sent_at))
                case Renew(sent_at, lease_id):
                    self.spawn(self.renew(sent_at, lease_id))
                case Revoke(lease_id):
                    self.spawn(self.revoke(lease_id))
                case Watch(revision):
                    if self.watch_task:
                        self.watch_task.cancel()
                    self.watch_task = self.spawn(self.await_deletion(revision))
                case TenureStarted(token):
                    self.counts["won"] += 1
                    self.leading.set()
                    self.log.info("lease_won", token=token)
                case TenureEnded(token, reason):
                    self.counts["lost"] += 1
                    self.leading.clear()
                    self.log.info("lease_lost", token=token, reason=reason)

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def campaign(self, sent_at: timedelta) -> None:
        """Request a lease, try to create the key under it, and queue the outcome as an event."""
        lease_id = 0
        try:
            lease_id = await self.etcd.grant(round(self.terms.ttl.total_seconds()))
            is_ours, revision, holder = await self.etcd.acquire_key(self.key, self.name.encode(), lease_id)
        except (EtcdUnavailable, LeaseNotFound) as error:
            self.log.info("lease_unasked", error=repr(error))
            self.events.put_nowait(CallFailed(sent_at, lease_id))
            return
        if is_ours:
            self.events.put_nowait(Acquired(sent_at, lease_id, revision))
        else:
            self.events.put_nowait(HeldByOther(sent_at, lease_id, revision, holder))

    async def renew(self, sent_at: timedelta, lease_id: int) -> None:
        try:
            await self.etcd.keepalive(lease_id)
        except LeaseNotFound:
            self.events.put_nowait(LeaseExpired(sent_at, lease_id))
        except EtcdUnavailable as error:
            self.counts["unrenewed"] += 1
            self.log.info("lease_unrenewed", error=str(error))
            self.events.put_nowait(CallFailed(sent_at, lease_id))
        else:
            self.counts["renewed"] += 1
            self.events.put_nowait(Renewed(sent_at, lease_id))

    async def revoke(self, lease_id: int) -> None:
        """Revoke a lease once no action is running.

        Failures are ignored, because the lease expires anyway."""
        await self.no_action_running.wait()
        with suppress(EtcdUnavailable, LeaseNotFound):
            await self.etcd.revoke(lease_id)

    async def await_deletion(self, revision: int) -> None:
        """Queue an event when the key is deleted or etcd cancels the watch.

        After a failed watch there is no event; the next campaign starts one TTL after the last one lost."""
        try:
            await self.etcd.wait_deleted(self.key, revision)
        except EtcdUnavailable:
            return
        self.events.put_nowait(KeyDeleted())
