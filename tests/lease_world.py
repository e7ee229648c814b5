"""A model of a fleet, its links and its engine, on the real `Holder` and the lab's store."""

import heapq
from dataclasses import dataclass, field
from datetime import timedelta

from hoplane.lab.store import Compare, NoLease, Put, Range, Store
from hoplane.lease.choice import (
    Ask,
    Begin,
    End,
    Failed,
    Freed,
    Gone,
    Holder,
    Renew,
    Renewed,
    Revoke,
    Taken,
    Terms,
    Tick,
    Watch,
    Won,
)

KEY, CALL = b"k", 300
MS = timedelta(milliseconds=1)


def ms(number):
    return timedelta(milliseconds=number)


@dataclass
class Outage:
    """What becomes of a member's calls for some ms: `lost` or slow on the way there, or on the way back."""

    who: int
    start: int
    length: int
    kind: str
    slow: int = 0


@dataclass
class Member:
    holder: Holder
    rate: float
    acting_until: float = 0.0  # true time at which its last act is over
    revokes: list = field(default_factory=list)


class World:
    """Plays members with clocks of their own; `spans` holds [begin, end, member] in true ms.

    In a span a member is told that it may act, or acts that it could have begun are under way."""

    def __init__(self, terms, rates, outages, kind=Holder):
        self.store, self.outages, self.at = Store(), outages, 0.0
        self.members = [Member(kind(terms, seed), rate) for seed, rate in enumerate(rates)]
        self.terms, self.spans, self.queue, self.count = terms, [], [], 0

    def local(self, member):
        return ms(self.at) * member.rate

    def later(self, after, work):
        self.count += 1
        heapq.heappush(self.queue, (self.at + after, self.count, work))

    def perform(self, who, effects):
        member = self.members[who]
        for effect in effects:
            if isinstance(effect, Revoke):
                self.later(max(0.0, member.acting_until - self.at), lambda e=effect: self.send(who, e))
            elif isinstance(effect, Ask | Renew):
                self.send(who, effect)
            elif isinstance(effect, Watch):
                self.poll(who, effect.revision)
            else:
                assert isinstance(effect, Begin | End)

    def poll(self, who, revision):
        """Play a watch: it is told of the key's end a little later."""
        if any(change.deleted for change in self.store.since(revision, KEY)):
            self.give(who, Freed())
        elif self.members[who].holder.phase.value == "waiting":
            self.later(20, lambda: self.poll(who, revision))

    def send(self, who, effect):
        """Send a call; its caller gives up after CALL ms of its own clock."""
        fates = [o for o in self.outages if o.who == who and o.start <= self.at < o.start + o.length]
        kinds, slow, answered = {o.kind for o in fates}, max((o.slow for o in fates), default=0), []
        lease = getattr(effect, "lease", 0)
        if not isinstance(effect, Revoke):

            def give_up():
                if not answered:
                    answered.append(True)
                    self.give(who, Failed(effect.sent, lease))

            self.later(CALL / self.members[who].rate, give_up)

        def arrive():
            event = self.served(who, effect)

            def back():
                if event is not None and not answered:
                    answered.append(True)
                    self.give(who, event)

            if "unheard" not in kinds:
                self.later(slow if "slow back" in kinds else 2, back)

        if "lost" not in kinds:
            self.later(slow if "slow there" in kinds else 2, arrive)

    def served(self, who, effect):
        now = ms(self.at)
        self.store.expire(now)
        if isinstance(effect, Revoke):
            if effect.lease in self.store.leases:
                self.store.revoke(now, effect.lease)
            return None
        if isinstance(effect, Renew):
            left = self.store.renew(now, effect.lease)
            return (Renewed if left else Gone)(effect.sent, effect.lease)
        lease = self.store.grant(now, self.terms.ttl)
        free = [Compare(KEY, "created", "=", 0)]
        try:
            held, found = self.store.txn(now, free, [Put(KEY, str(who).encode(), lease)], [Range(KEY)])
        except NoLease:
            return Failed(effect.sent, lease)
        if held:
            return Won(effect.sent, lease, self.store.revision)
        return Taken(effect.sent, lease, self.store.revision, found[0][0].value.decode())

    def give(self, who, event):
        member = self.members[who]
        self.perform(who, member.holder.take(self.local(member), event))

    def run(self, until, step=10):
        """Go on in steps; whoever may act is taken to, for as long as an act may take."""
        while self.at < until:
            goal = self.at + step
            while self.queue and self.queue[0][0] <= goal:
                self.at, _, work = heapq.heappop(self.queue)
                work()
            self.at = goal
            for who, member in enumerate(self.members):
                wake = member.holder.wake()
                if wake is not None and wake <= self.local(member):
                    self.give(who, Tick())
                if member.holder.may_act(self.local(member)) is not None:
                    under_way = member.acting_until >= self.at
                    member.acting_until = self.at + self.terms.act / MS / member.rate
                    if under_way and self.spans and (mine := [s for s in self.spans if s[2] == who]):
                        mine[-1][1] = member.acting_until
                    else:
                        self.spans.append([self.at, member.acting_until, who])
        return self

    def overlaps(self):
        spans = sorted(self.spans)
        pairs = ((a, b) for i, a in enumerate(spans) for b in spans[i + 1 :])
        return [(a, b) for a, b in pairs if a[2] != b[2] and b[0] < a[1]]


class Marginless(Terms):
    """Terms without the margin: a holder takes its lease to live for all of its time."""

    @property
    def span(self):
        return self.ttl


class FromAnswer(Holder):
    """A holder that counts its time from when an answer came, not from when its call went out."""

    def take(self, now, event):
        if isinstance(event, Renewed) and self.holds(event):
            effects = super().take(now, event)
            self.until = now + self.terms.span
            return effects
        return super().take(now, event)


def changed(terms, kind):
    return kind(**{name: getattr(terms, name) for name in ("ttl", "act", "drift", "least", "most", "epoch")})
