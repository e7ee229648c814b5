"""What all conductors together send to one cold endpoint, by the turns that each takes alone."""

import random

import pytest
from conftest import S, entry, settings

from hoplane.decision import interface as api
from hoplane.decision.slow_start import SlowStart
from hoplane.decision.state import DecayingCounter, Server

SPAN, START, SECONDS = 5 * S, 100, 10


def sent_to_a_cold_one(conductors, peers, each, burst, deployment, seed):
    """Let clients come to conductors, some of which see several times the mean, and one of `peers` start.

    Every request that finds a turn goes to it. `each`: requests a second that one of them gets when warm."""
    rng = random.Random(seed)
    shares = [rng.expovariate(1) ** 2 for _ in range(conductors)]
    arrivals = []
    for n, share in enumerate(shares):
        at, rate = START - 10.0, each * peers * share / sum(shares)
        while at < START + SECONDS:
            at += rng.expovariate(max(1e-9, rate * (burst if START <= at < START + 2 else 1)))
            arrivals.append((at, n))
    turns, sends = ([kind(SPAN) for _ in range(conductors)] for kind in (SlowStart, DecayingCounter))
    servers, sent = {}, []
    for at, n in sorted(arrivals):
        now = int(at * S)
        turns[n].arrivals.add(now)
        sends[n].add(now)
        if not START <= at < START + SECONDS:
            continue
        if n not in servers:
            cold = entry(1, "reader", born=START * S)
            servers[n] = Server(cold, api.Role.READ, 0, credit=rng.random(), credit_updated_at=START * S)
        if turns[n].allows_send(servers[n], now, deployment, sends[n], peers):
            servers[n].credit = 0.0
            sent.append(at)
    return sent


@pytest.mark.parametrize(("multiple", "share", "fall"), [(4, 0.29, 3.0), (2.5, 0.27, 1.0), (2.2, 0.25, 1.2)])
@pytest.mark.parametrize("conductors", [1, 3, 30, 230])
@pytest.mark.parametrize(("peers", "each"), [(4, 0.3), (4, 3), (40, 0.3), (40, 3)])
def test_all_conductors_together_send_a_cold_endpoint_what_it_stands(
    conductors, peers, each, multiple, share, fall
):
    """In no window more than its budget N there as it starts, and 2 x root of N + 2 for chance."""
    deployment = settings(cold=10 * S, cold_share=share, fall_multiple=multiple, fall=int(fall * S))
    budget = multiple * share * (each / 0.6) * fall  # warm, it stands what it gets at a load of 0.6
    for seed in range(6):
        sent = sent_to_a_cold_one(conductors, peers, each, (1, 3)[seed % 2], deployment, seed)
        most = max((sum(at <= later < at + fall for later in sent) for at in sent), default=0)
        assert most <= budget + 2 * budget**0.5 + 2, (seed, most, budget)
