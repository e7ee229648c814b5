"""Settings reload on SIGHUP: new classes for new requests, old ones for open requests, bad files rejected."""

import asyncio
import copy
import json
from dataclasses import replace

import pytest
from standins import SETTINGS, chat
from test_operator import call, operator_address
from test_platform import hang, run, running_conductor
from test_reducer import SETTINGS as CORE_SETTINGS
from test_reducer import ReducerHarness

from hoplane.core import events as ev
from hoplane.decision import interface as api


def settings(**changes):
    changed = copy.deepcopy(SETTINGS)
    changed.update(changes)
    return changed


FRESH = {"name": "fresh", "target": 1000000000, "hard_limit": 4000000000, "idempotency": "pure"}


async def statistics(address):
    return json.loads((await call(address, b"DUMP\r\n"))[0])


def test_reload_adds_new_classes_and_drops_removed_ones(tmp_path):
    async def test():
        address = operator_address()
        async with running_conductor(tmp_path, operator=address) as program:
            program.reload(settings=settings(lanes=[FRESH]))
            assert (await program.line("retuned"))["classes"] == ["fresh"]
            first, _, _ = await program.send_request(chat(id="n1", cls="fresh"))
            assert first.startswith("HTTP/1.1 200")
            first, _, _ = await program.send_request(chat(id="n2", cls="lookup"))
            assert first.startswith("HTTP/1.1 400")
            counts = await statistics(address)
            assert counts["conf_loaded"] == 1 and counts["conf_invalid"] == 0
            assert counts["transactions"]["fresh"]["answered"] == 1
            assert await program.stop() == 0

    run(test())


def bad_files(valid):
    """Yield files that must be rejected as a whole, with the key that each error names."""

    def changed(change):
        new = copy.deepcopy(valid)
        change(new)
        return json.dumps(new)

    whole = json.dumps(valid)
    lane = {**SETTINGS["lanes"][0]}
    yield "", "EDGE_CONFIG"
    yield whole[: len(whole) // 2], "EDGE_CONFIG"
    yield changed(lambda new: new.pop("limits")), "limits: is missing"
    yield changed(lambda new: new["settings"]["allowed"].pop("cancel")), "settings.allowed.cancel: is missing"
    yield changed(lambda new: new["settings"].pop("lanes")), "settings.lanes: is missing"
    yield changed(lambda new: new["settings"]["lanes"][0].pop("hard_limit")), "lookup.hard_limit: is missing"
    for value in (0, -5, "4000000000", None, True):

        def deadline(new, value=value):
            new["settings"]["lanes"] = [{**lane, "hard_limit": value}]

        yield changed(deadline), "settings.lanes.lookup.hard_limit"
    for value in (0, -1, "3", 1.0e-9 - 1):

        def attempts(new, value=value):
            new["settings"]["allowed"]["attempts_cap"] = value

        yield changed(attempts), "settings.allowed.attempts_cap"


def test_bad_files_are_rejected_logged_and_counted(tmp_path):
    async def test():
        address = operator_address()
        async with running_conductor(tmp_path, operator=address) as program:
            files = list(bad_files(program.config))
            for number, (text, key) in enumerate(files, 1):
                program.reload(text)
                error = (await program.line("reload_failed"))["error"]
                assert key in error, (text[:80], error)
                assert (await statistics(address))["conf_invalid"] == number
            first, _, _ = await program.send_request(chat(id="still"))
            assert first.startswith("HTTP/1.1 200"), "the current settings stay"
            assert (await statistics(address))["conf_loaded"] == 0
            assert await program.stop() == 0

    run(test())


def test_request_open_during_a_reload_keeps_its_class_and_attempt_limit():
    harness = ReducerHarness()
    harness.submit("old", cls="once")
    retuned = replace(
        CORE_SETTINGS,
        max_attempts=2,
        classes=tuple(
            replace(request_class, effect=api.Idempotency.SAFE) for request_class in CORE_SETTINGS.classes
        ),
    )
    harness.apply(ev.SettingsReloaded(retuned))
    assert harness.state.statistics.conf_loaded == 1
    forward = harness.finish_read("old")
    assert forward.at_most_once, "a request from before the reload must still run at most once"
    harness.submit("new", cls="once")
    assert not harness.finish_read("new").at_most_once, "a later request has the new effect"
    assert (
        harness.state.requests["new"].max_attempts == 2 and harness.state.requests["old"].max_attempts is None
    )
    assert (
        harness.state.router.jobs["new"].max_attempts == 2
        and harness.state.router.jobs["old"].max_attempts is None
    )


@pytest.mark.parametrize("reload_first", [True, False])
def test_request_open_during_a_reload_keeps_its_deadline(tmp_path, reload_first):
    async def test():
        async with running_conductor(tmp_path, write=hang) as program:
            reader, writer = await program.connect()
            writer.write(chat(id="open", left=900))
            await program.writer.wait_for("POST /v1/chat")
            program.reload(settings=settings(lanes=[FRESH]) if reload_first else program.config["settings"])
            await program.line("retuned")
            first = (await asyncio.wait_for(reader.readline(), 5)).decode()
            assert first.split()[1] in ("502", "503"), "its own deadline ends it"

    run(test())
