"""Discrete-event model of a fleet, its network and etcd, around the real `LeaseStateMachine`."""

import heapq
from dataclasses import dataclass, field
from datetime import timedelta

from hoplane.lab.key_value_store import Compare, KeyValueStore, Put, Range, UnknownLease
from hoplane.lease.state_machine import (
    Acquired,
    CallFailed,
    Campaign,
    HeldByOther,
    KeyDeleted,
    LeaseExpired,
    LeaseStateMachine,
    LeaseTerms,
    Renew,
    Renewed,
    Revoke,
    TenureEnded,
    TenureStarted,
    Tick,
    Watch,
)

KEY, CALL_TIMEOUT_MS = b"k", 300
MS = timedelta(milliseconds=1)


def ms(number):
    return timedelta(milliseconds=number)


@dataclass
class Outage:
    """Fault of a member's network for `length` ms: requests or replies are lost or delayed."""

    member_index: int
    start: int
    length: int
    kind: str
    delay_ms: int = 0


@dataclass
class Member:
    machine: LeaseStateMachine
    clock_rate: float
    action_until: float = 0.0  # true time at which its last action ends
    revokes: list = field(default_factory=list)


class World:
    """Simulates members with clocks of their own. `action_spans` lists [begin, end, member] in true ms.

    During a span the member may act, or an action that it may have started is still running."""

    def __init__(self, terms, clock_rates, outages, machine_class=LeaseStateMachine):
        self.store, self.outages, self.now_ms = KeyValueStore(), outages, 0.0
        self.members = [
            Member(machine_class(terms, seed), clock_rate) for seed, clock_rate in enumerate(clock_rates)
        ]
        self.terms, self.action_spans, self.queue, self.scheduled = terms, [], [], 0

    def local_time(self, member):
        return ms(self.now_ms) * member.clock_rate

    def schedule(self, delay, callback):
        self.scheduled += 1
        heapq.heappush(self.queue, (self.now_ms + delay, self.scheduled, callback))

    def perform(self, member_index, effects):
        member = self.members[member_index]
        for effect in effects:
            if isinstance(effect, Revoke):
                self.schedule(
                    max(0.0, member.action_until - self.now_ms), lambda e=effect: self.send(member_index, e)
                )
            elif isinstance(effect, Campaign | Renew):
                self.send(member_index, effect)
            elif isinstance(effect, Watch):
                self.poll_watch(member_index, effect.revision)
            else:
                assert isinstance(effect, TenureStarted | TenureEnded)

    def poll_watch(self, member_index, revision):
        """Simulate a watch, which reports the deletion of the key a little later."""
        if any(change.deleted for change in self.store.changes_since(revision, KEY)):
            self.deliver(member_index, KeyDeleted())
        elif self.members[member_index].machine.phase.value == "waiting":
            self.schedule(20, lambda: self.poll_watch(member_index, revision))

    def send(self, member_index, effect):
        """Send a call. Its caller times out after CALL_TIMEOUT_MS of its own clock."""
        active_outages = [
            o
            for o in self.outages
            if o.member_index == member_index and o.start <= self.now_ms < o.start + o.length
        ]
        outage_kinds, delay_ms, completed = (
            {o.kind for o in active_outages},
            max((o.delay_ms for o in active_outages), default=0),
            [],
        )
        lease_id = getattr(effect, "lease_id", 0)
        if not isinstance(effect, Revoke):

            def give_up():
                if not completed:
                    completed.append(True)
                    self.deliver(member_index, CallFailed(effect.sent_at, lease_id))

            self.schedule(CALL_TIMEOUT_MS / self.members[member_index].clock_rate, give_up)

        def arrive():
            event = self.serve(member_index, effect)

            def deliver_reply():
                if event is not None and not completed:
                    completed.append(True)
                    self.deliver(member_index, event)

            if "reply lost" not in outage_kinds:
                self.schedule(delay_ms if "slow reply" in outage_kinds else 2, deliver_reply)

        if "request lost" not in outage_kinds:
            self.schedule(delay_ms if "slow request" in outage_kinds else 2, arrive)

    def serve(self, member_index, effect):
        now = ms(self.now_ms)
        self.store.expire(now)
        if isinstance(effect, Revoke):
            if effect.lease_id in self.store.leases:
                self.store.revoke(now, effect.lease_id)
            return None
        if isinstance(effect, Renew):
            remaining_ttl = self.store.renew(now, effect.lease_id)
            return (Renewed if remaining_ttl else LeaseExpired)(effect.sent_at, effect.lease_id)
        lease_id = self.store.grant(now, self.terms.ttl)
        key_absent = [Compare(KEY, "created", "=", 0)]
        try:
            acquired, responses = self.store.txn(
                now, key_absent, [Put(KEY, str(member_index).encode(), lease_id)], [Range(KEY)]
            )
        except UnknownLease:
            return CallFailed(effect.sent_at, lease_id)
        if acquired:
            return Acquired(effect.sent_at, lease_id, self.store.revision)
        return HeldByOther(effect.sent_at, lease_id, self.store.revision, responses[0][0].value.decode())

    def deliver(self, member_index, event):
        member = self.members[member_index]
        self.perform(member_index, member.machine.handle(self.local_time(member), event))

    def run(self, end_ms, step_ms=10):
        """Run in steps. A member that may act starts an action of the maximum duration at each step."""
        while self.now_ms < end_ms:
            step_end = self.now_ms + step_ms
            while self.queue and self.queue[0][0] <= step_end:
                self.now_ms, _, callback = heapq.heappop(self.queue)
                callback()
            self.now_ms = step_end
            for member_index, member in enumerate(self.members):
                next_wakeup = member.machine.next_wakeup()
                if next_wakeup is not None and next_wakeup <= self.local_time(member):
                    self.deliver(member_index, Tick())
                if member.machine.token_for_action(self.local_time(member)) is not None:
                    under_way = member.action_until >= self.now_ms
                    member.action_until = self.now_ms + self.terms.action_timeout / MS / member.clock_rate
                    if (
                        under_way
                        and self.action_spans
                        and (own_spans := [s for s in self.action_spans if s[2] == member_index])
                    ):
                        own_spans[-1][1] = member.action_until
                    else:
                        self.action_spans.append([self.now_ms, member.action_until, member_index])
        return self

    def overlaps(self):
        action_spans = sorted(self.action_spans)
        pairs = ((a, b) for i, a in enumerate(action_spans) for b in action_spans[i + 1 :])
        return [(a, b) for a, b in pairs if a[2] != b[2] and b[0] < a[1]]


class NoDriftMargin(LeaseTerms):
    """Faulty terms without a drift margin: the lease is taken to live for its whole TTL."""

    @property
    def safe_lifetime(self):
        return self.ttl


class CountsFromReply(LeaseStateMachine):
    """Faulty state machine that counts the lease time from the reply instead of from the send of the call."""

    def handle(self, now, event):
        if isinstance(event, Renewed) and self.is_current(event):
            effects = super().handle(now, event)
            self.valid_until = now + self.terms.safe_lifetime
            return effects
        return super().handle(now, event)


def copy_terms(terms, terms_class):
    return terms_class(
        **{
            name: getattr(terms, name)
            for name in ("ttl", "action_timeout", "drift", "min_backoff", "max_backoff", "epoch")
        }
    )
