"""The sends of all conductors together to a cold endpoint, each of which uses its own slow-start credit."""

import random

import pytest
from conftest import S, entry, settings

from hoplane.decision import interface as api
from hoplane.decision.slow_start import SlowStart
from hoplane.decision.state import DecayingCounter, Server

SPAN, START, SECONDS = 5 * S, 100, 10


def sends_to_cold_endpoint(conductors, peers, warm_request_rate, count_refusals, deployment, seed):
    """Simulate clients at several conductors while one of `peers` endpoints starts cold.

    Some conductors see several times the mean load. Every request that finds credit is sent to the cold
    endpoint. `warm_request_rate` is the number of requests per second that a warm endpoint gets.
    """
    rng = random.Random(seed)
    shares = [rng.expovariate(1) ** 2 for _ in range(conductors)]
    arrivals = []
    for n, share in enumerate(shares):
        at, rate = START - 10.0, warm_request_rate * peers * share / sum(shares)
        while at < START + SECONDS:
            at += rng.expovariate(max(1e-9, rate * (count_refusals if START <= at < START + 2 else 1)))
            arrivals.append((at, n))
    slow_starts, sends = ([kind(SPAN) for _ in range(conductors)] for kind in (SlowStart, DecayingCounter))
    servers, sent = {}, []
    for at, n in sorted(arrivals):
        now = int(at * S)
        slow_starts[n].arrivals.add(now)
        sends[n].add(now)
        if not START <= at < START + SECONDS:
            continue
        if n not in servers:
            cold = entry(1, "reader", started_at=START * S)
            servers[n] = Server(cold, api.Role.READ, 0, credit=rng.random(), credit_updated_at=START * S)
        if slow_starts[n].allows_send(servers[n], now, deployment, sends[n], peers):
            servers[n].credit = 0.0
            sent.append(at)
    return sent


@pytest.mark.parametrize(("multiple", "share", "fall"), [(4, 0.29, 3.0), (2.5, 0.27, 1.0), (2.2, 0.25, 1.2)])
@pytest.mark.parametrize("conductors", [1, 3, 30, 230])
@pytest.mark.parametrize(("peers", "warm_request_rate"), [(4, 0.3), (4, 3), (40, 0.3), (40, 3)])
def test_all_conductors_together_stay_within_a_cold_endpoints_budget(
    conductors, peers, warm_request_rate, multiple, share, fall
):
    """No window has more sends than the budget N plus 2 * sqrt(N) + 2 for random variation."""
    deployment = settings(cold=10 * S, cold_share=share, fall_multiple=multiple, fall=int(fall * S))
    # A warm endpoint gets `warm_request_rate` at a load of 0.6.
    budget = multiple * share * (warm_request_rate / 0.6) * fall
    for seed in range(6):
        sent = sends_to_cold_endpoint(
            conductors, peers, warm_request_rate, (1, 3)[seed % 2], deployment, seed
        )
        max_sent = max((sum(at <= later < at + fall for later in sent) for at in sent), default=0)
        assert max_sent <= budget + 2 * budget**0.5 + 2, (seed, max_sent, budget)
