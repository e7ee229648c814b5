"""What the second deployment asks of the platform's front: tenants, refusals without advice, moves."""

import asyncio
import copy
import time

import pytest
from standins import EVENT, SETTINGS, STREAM, Server, chat, chunk, entry, message, platform, within

from hoplane.core import events as ev
from hoplane.core.ledger import Ledger
from hoplane.core.reducer import Conductor, reduce
from hoplane.decision import interface as api
from hoplane.decision.router import Router
from hoplane.fronts.platform import read_asked
from hoplane.net.server import retry_after_headers

HEADERS = {
    "X-Correlation-Id": "r1",
    "X-Service-Class": "c",
    "X-Time-Left-Ms": "900",
    "X-Facts": "prompt_len=10,max_out=5",
}


@pytest.mark.parametrize(("account", "tenant"), [("acme", "acme"), ("unknown", None), (None, None)])
def test_the_tenant_is_read_where_the_settings_name_it(account, tenant):
    headers = HEADERS | ({"X-Account": account} if account else {})
    assert read_asked(headers, {"c"}, {"acme"}).tenant == tenant


def conductor(retry_after=False):
    classes = (
        api.ClassSettings("c", 10**9, 4 * 10**9, api.Effect.SAFE),
        api.ClassSettings("once", 10**9, 4 * 10**9, api.Effect.UNSAFE),
        *(
            api.ClassSettings(f"keyed-{group.value}", 10**9, 4 * 10**9, api.Effect.KEYED, group=group)
            for group in api.Group
        ),
    )
    settings = api.Settings(
        kinds=tuple(api.KindSettings(role.value, role) for role in api.Role),
        classes=classes,
        cancel=True,
        retry_after=retry_after,
        max_retry_after=10**9,
    )
    state = Conductor(settings, Router(settings, 1), Ledger(10, ev.timedelta(seconds=1)))
    endpoint = ev.Endpoint("e", "h:1", "z", "both", 0, api.State.LIVE)
    reduce(state, ev.timedelta(seconds=1), ev.EndpointsUpdated((endpoint,), True))
    return state


def ask(state, cls="c"):
    asked = ev.RequestReceived("r1", cls, 10, 5, ev.timedelta(seconds=4))
    return reduce(state, ev.timedelta(seconds=1), asked)


@pytest.mark.parametrize("allowed", [True, False])
def test_a_refusal_tells_when_to_come_back_only_where_that_is_allowed(allowed):
    state = conductor(retry_after=allowed)
    reduce(state, ev.timedelta(seconds=1), ev.EndpointsUpdated((), True))
    effects = [e for e in ask(state) if isinstance(e, ev.Refuse)]
    due = ev.TimerFired(("r1", None, ev.timedelta(seconds=1)))
    effects += reduce(state, ev.timedelta(seconds=5), due)
    refused = [e for e in effects if isinstance(e, ev.Refuse)]
    assert refused and all((e.retry_after is not None) is allowed for e in refused)
    assert bool(retry_after_headers(refused[0].retry_after)) is allowed


@pytest.mark.parametrize(
    ("cls", "answer"),
    [
        ("c", ev.Refuse),
        ("once", ev.Fail),
        ("keyed-all", ev.Refuse),
        ("keyed-zone", ev.Fail),
        ("keyed-cell", ev.Fail),
    ],
)
@pytest.mark.parametrize("kind", ["both", "read"])
def test_a_request_that_has_not_begun_is_answered_before_the_process_is_killed(cls, answer, kind):
    """Where repeats do harm, once what is out has ended: a read has no effect, however it ends."""
    state = conductor()
    if kind == "read":
        listed = [ev.Endpoint(name, "h:1", "z", name, 0, api.State.LIVE) for name in ("read", "write")]
        reduce(state, ev.timedelta(seconds=1), ev.EndpointsUpdated(tuple(listed), True))
    sends = [e for e in ask(state, cls) if isinstance(e, ev.Forward)]
    assert [e.is_read for e in sends] == [kind == "read"]
    harmless, answer = cls in ("c", "keyed-all"), ev.Refuse if kind == "read" else answer
    effects = reduce(state, ev.timedelta(seconds=2), ev.RequestInterrupted("r1"))
    wanted = [ev.AbandonAttempt, ev.Refuse] if harmless else [ev.AbandonAttempt]
    assert [type(e) for e in effects if not isinstance(e, ev.SetTimer)] == wanted
    effects = reduce(
        state, ev.timedelta(seconds=2), ev.AttemptEnded("r1", 0, api.Status.CANCELLED, written=True)
    )
    answers = [type(e) for e in effects if isinstance(e, ev.Refuse | ev.Fail | ev.Forward)]
    assert answers == ([] if harmless else [answer])
    assert not state.requests


def test_a_stream_that_has_begun_is_broken_off_without_another_answer():
    state = conductor()
    ask(state)
    reduce(state, ev.timedelta(seconds=2), ev.ResponseStarted("r1", 0))
    effects = reduce(state, ev.timedelta(seconds=3), ev.RequestInterrupted("r1"))
    assert [type(e) for e in effects] == [ev.AbandonAttempt]


async def read(call, writer):
    writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))


async def endless(call, writer):
    """Stream an event every 0.1 s and never end."""
    writer.write(STREAM)
    while True:
        writer.write(chunk(EVENT))
        await writer.drain()
        await asyncio.sleep(0.1)


@pytest.mark.parametrize(("resume", "least", "most"), [(True, 1.4, 3.6), (False, 4.0, 99)])
def test_streams_are_moved_before_sigkill_where_clients_ask_elsewhere_for_the_rest(
    tmp_path, resume, least, most
):
    settings = copy.deepcopy(SETTINGS)
    settings["family_info"]["resume"] = resume

    async def test():
        async with Server(read) as reader, Server(endless) as writer:
            entries = [entry("r1", reader.address, "prefill"), entry("w1", writer.address, "decode")]
            async with platform(tmp_path, entries, settings=settings) as program:
                incoming, outgoing = await program.connect()
                outgoing.write(chat())
                await within(incoming.readuntil(EVENT))
                begun = time.monotonic()
                program.process.terminate()
                ended = None
                while time.monotonic() - begun < min(most, 4.2):
                    try:
                        part = await asyncio.wait_for(incoming.read(4096), 0.3)
                    except TimeoutError:
                        continue
                    if not part:
                        ended = time.monotonic() - begun
                        break
                    assert b"\r\n0\r\n" not in part, "a stream that is broken off has no last chunk"
                if resume:
                    assert ended is not None and least < ended < most
                    assert await within(program.process.wait()) == 0
                else:
                    assert ended is None, "it is left to run, as its client would lose it"
                outgoing.close()

    asyncio.run(test())
