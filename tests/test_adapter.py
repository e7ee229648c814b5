"""Tests the adapter with hand-written batches."""

import io
import subprocess
import sys

import pytest

from hoplane import adapter
from hoplane.decision import interface as api

SETTINGS = (
    "allowed.attempts_cap=5 allowed.cancel=true balancers=2 family_info.duty_by_kind=read,write "
    "family_info.local_read=true family_info.memory_tokens=190000,150000 family_info.token_aim=60000000 "
    "family_info.aim_us_per_1000_prompt_tokens=40000.0 kinds=prefill,decode lanes.count=1 lanes.0.group=all "
    "lanes.0.hard_limit=4000000000 lanes.0.idempotency=pure lanes.0.name=chat lanes.0.target=1000000000 "
    "lanes.0.worth=2.0 lanes.0.window=5000000000 my_zone=z position=0 rules.cold=14000000000 tick=2000000 "
    "projects.count=1 projects.0.name=t projects.0.quota_per_s=8.0 discovery=push some.new_key=5"
)
START_ROUTER = f"""enlist router_id=router-1 random_seed=5 {SETTINGS}
list slot=0 records=2
entry engine=7 dc=z kind=prefill unit_group=0 condition=live weight=1 new_field=x
entry kind=decode engine=8 condition=live dc=z unit_group=0 born=0
fleet router_id=router-1 kind=Persisted revision=1 slot=0
"""
QUERY = (
    "query router_id=router-1 max_tokens=256 req=rq_a n_prompt=1800 shared_len=1200 prefix=2b8e6401d9f37c10 "
    "party=t priority=chat thread=91f03b7c55d20a64 grace=4000000000\n"
)


def batch(events, clock=1000):
    return f"begin_batch clock={clock}\n{events}eof_batch\n"


def run_batches(*batches):
    out = io.StringIO()
    adapter.RouterHost().run(adapter.LineCounter(io.StringIO("".join(batches))), out)
    return out.getvalue()


def test_empty_batch_is_answered():
    assert run_batches(batch("")) == "ok\n"


def test_request_is_sent_to_reader_then_writer():
    read = "report_back router_id=router-1 req=rq_a ending=handover info=0 wait_time=90 engine=7 attempt=0\n"
    first = "headers router_id=router-1 req=rq_a attempt=1 engine=8 wait_time=50\n"
    done = "report_back closed=1 req=rq_a ending=done router_id=router-1 wait_time=90 engine=8 attempt=1\n"
    replies = run_batches(
        batch(START_ROUTER + QUERY), batch(read, 2000), batch(first, 3000), batch(done, 4000)
    )
    assert "pass_on router_id=router-1 req=rq_a within=0 engine=7" in replies
    assert "pass_on router_id=router-1 req=rq_a within=0 engine=8" in replies
    assert replies.count("ok\n") == 4


def test_field_order_does_not_matter():
    head, *fields = QUERY.split()
    assert run_batches(batch(START_ROUTER + QUERY)) == run_batches(
        batch(START_ROUTER + " ".join([head, *reversed(fields)]) + "\n")
    )


def test_reused_list_slot_applies_in_order_within_batch():
    second = START_ROUTER.replace("router-1", "router-2").replace("engine=7", "engine=17")
    replies = run_batches(batch(START_ROUTER + second + QUERY + QUERY.replace("router-1", "router-2")))
    assert "router-1 req=rq_a within=0 engine=7" in replies
    assert "router-2 req=rq_a within=0 engine=17" in replies


def test_restart_within_batch_discards_all_state():
    host = adapter.RouterHost()
    text = batch(START_ROUTER + QUERY + "destroy router_id=router-1\n" + START_ROUTER)
    host.run(adapter.LineCounter(io.StringIO(text)), io.StringIO())
    assert host.routers["router-1"].jobs == {} and len(host.routers["router-1"].servers) == 2


def test_load_report_columns_are_identified_by_description():
    reporting = (
        "reporting.columns=x0,latency_ms,x1 family_info.report_x0=thousands_of_prompt_tokens_waiting "
        "family_info.report_x1=share_of_memory_that_is_held"
    )
    settings = adapter.read_settings(adapter.split_fields(f"{SETTINGS} {reporting}".split()))
    assert (settings.waiting_tokens_field, settings.held_memory_field) == ("x0", "x1")
    assert adapter.read_settings(adapter.split_fields(SETTINGS.split())).waiting_tokens_field is None


def test_absent_settings_use_interface_defaults():
    settings = adapter.read_settings(adapter.split_fields(SETTINGS.split()))
    assert settings.classes == (
        api.ClassSettings(
            "chat",
            aim=10**9,
            deadline=4 * 10**9,
            effect=api.Idempotency.SAFE,
            worth=2.0,
            group=api.Group.ALL,
            window=5 * 10**9,
            aim_per_1000=40_000_000,
            token_aim=60_000_000,
        ),
    )
    assert [kind.memory for kind in settings.kinds] == [190000, 150000]
    assert (
        settings.cold == 14 * 10**9 and settings.reserve_ahead is False and settings.max_retry_after is None
    )


@pytest.mark.parametrize(
    ("line", "event"),
    [
        ("bell handle=77", api.TimerFired(77)),
        ("timed_out_client req=a", api.ClientDisconnected("a")),
        ("headers req=a attempt=1 engine=8 wait_time=5", api.FirstToken("a", 1, 8, 5)),
        ("hold_result req=a attempt=0 engine=8 topic=2 value=0", api.ReservationResult("a", 0, 8, False)),
        (
            "probed ending=done engine=8 wait_time=5 gauge=x0:1",
            api.ProbeResult(8, api.Status.OK, 5, {"x0": 1.0}),
        ),
        ("note_from origin_peer=2 msg=aGkgNw==", api.PeerMessage(2, b"hi 7")),
        ("note_from origin_peer=2 msg=-", api.PeerMessage(2, b"")),
        (
            "report_back req=a ending=busy info=1 wait_time=5 engine=8 attempt=2",
            api.Outcome("a", 2, 8, api.Status.FULL, 5, False, 1),
        ),
    ],
)
def test_event_is_converted(line, event):
    name, *fields = line.split()
    assert adapter.EVENTS[name](adapter.split_fields(fields)) == event


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (api.Send("a", 7, 80), "pass_on router_id=r req=a within=80 engine=7"),
        (api.Reserve("a", 7), "hold_place router_id=r req=a engine=7"),
        (api.Release("a"), "unpin router_id=r req=a"),
        (api.Cancel("a", 1), "undo_send router_id=r req=a attempt=1"),
        (api.Refuse("a", 5), "shed router_id=r req=a pause=5"),
        (api.Fail("a"), "drop_request router_id=r req=a"),
        (api.EndStream("a"), "reassign router_id=r req=a"),
        (api.SetTimer(9, 1), "wake_me router_id=r fire_at=9 handle=1"),
        (api.Probe(7), "ping router_id=r engine=7"),
        (api.SendPeerMessage(None, b"hi 7"), "broadcast_to router_id=r dest=-1 msg=aGkgNw=="),
        (api.SendPeerMessage(2, b""), "broadcast_to router_id=r dest=2 msg=-"),
        (api.SubscribeServerList(), "observe router_id=r want=1"),
        (api.Log("two\nlines"), "remark router_id=r line=two lines"),
    ],
)
def test_action_is_formatted(action, line):
    assert adapter.write_action("r", action) == line


@pytest.mark.parametrize(
    ("text", "line", "expected"),
    [
        ("bell router_id=router-1 handle=7\n", 1, "begin_batch"),
        ("begin_batch clock=soon\n", 1, "clock"),
        (batch("dance router_id=router-1\n"), 2, "dance"),
        (batch(START_ROUTER + "bell router_id=router-1 handle=x\n"), 7, "handle"),
        (batch(START_ROUTER + "bell router_id=router-1 handle\n"), 7, "handle"),
        (batch(START_ROUTER + QUERY.replace("n_prompt=1800 ", "")), 7, "n_prompt"),
        (batch(START_ROUTER.replace("condition=live", "condition=odd", 1)), 4, "odd"),
        (batch(START_ROUTER.replace("records=2", "records=3")), 6, "entry"),
        (batch(START_ROUTER.replace("slot=0\n", "slot=4\n")), 6, "slot"),
        (batch("bell router_id=router-9 handle=1\n"), 2, "router-9"),
        (batch(START_ROUTER.replace("duty_by_kind=read,write", "duty_by_kind=read,read")), 2, "kinds"),
        ("begin_batch clock=5\n", 1, "ends"),
    ],
)
def test_malformed_input_is_reported_with_its_line(text, line, expected):
    command = [sys.executable, "-m", "hoplane.adapter"]
    run = subprocess.run(command, input=text, capture_output=True, text=True, check=False)
    assert run.returncode != 0 and run.stdout == ""
    assert len(run.stderr.splitlines()) == 1 and f"line {line}:" in run.stderr and expected in run.stderr
