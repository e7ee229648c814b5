"""Retuning at SIGHUP: new classes for new requests, old rules for open ones, bad files turned down whole."""

import asyncio
import copy
import json
from dataclasses import replace

import pytest
from standins import SETTINGS, chat
from test_core import SETTINGS as CORE_SETTINGS
from test_core import Core
from test_operator import call, operator_address
from test_platform import hang, run, running_conductor

from hoplane.core import events as ev
from hoplane.decision import interface as api


def settings(**lanes_and_allowed):
    told = copy.deepcopy(SETTINGS)
    told.update(lanes_and_allowed)
    return told


FRESH = {"name": "fresh", "target": 1000000000, "hard_limit": 4000000000, "idempotency": "pure"}


async def figures(address):
    return json.loads((await call(address, b"DUMP\r\n"))[0])


def test_a_new_class_is_served_after_a_reload_and_a_dropped_one_is_not(tmp_path):
    async def test():
        address = operator_address()
        async with running_conductor(tmp_path, operator=address) as program:
            program.reload(settings=settings(lanes=[FRESH]))
            assert (await program.line("retuned"))["classes"] == ["fresh"]
            first, _, _ = await program.ask(chat(id="n1", cls="fresh"))
            assert first.startswith("HTTP/1.1 200")
            first, _, _ = await program.ask(chat(id="n2", cls="lookup"))
            assert first.startswith("HTTP/1.1 400")
            told = await figures(address)
            assert told["conf_loaded"] == 1 and told["conf_invalid"] == 0
            assert told["transactions"]["fresh"]["answered"] == 1
            assert await program.stop() == 0

    run(test())


def bad_files(told):
    """Give files that must be turned down whole, with the key that each error names."""

    def changed(change):
        new = copy.deepcopy(told)
        change(new)
        return json.dumps(new)

    whole = json.dumps(told)
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


def test_each_kind_of_bad_file_is_turned_down_whole_named_and_counted(tmp_path):
    async def test():
        address = operator_address()
        async with running_conductor(tmp_path, operator=address) as program:
            files = list(bad_files(program.config))
            for number, (text, key) in enumerate(files, 1):
                program.reload(text)
                error = (await program.line("reload_failed"))["error"]
                assert key in error, (text[:80], error)
                assert (await figures(address))["conf_invalid"] == number
            first, _, _ = await program.ask(chat(id="still"))
            assert first.startswith("HTTP/1.1 200"), "the settings in force stay"
            assert (await figures(address))["conf_loaded"] == 0
            assert await program.stop() == 0

    run(test())


def test_a_request_open_at_a_reload_keeps_its_class_and_attempts():
    core = Core()
    core.ask("old", cls="once")
    retuned = replace(
        CORE_SETTINGS,
        max_attempts=2,
        classes=tuple(replace(each, effect=api.Effect.SAFE) for each in CORE_SETTINGS.classes),
    )
    core.do(ev.SettingsReloaded(retuned))
    assert core.state.figures.conf_loaded == 1
    forward = core.read("old")
    assert forward.at_most_once, "a booking taken before stays a booking"
    core.ask("new", cls="once")
    assert not core.read("new").at_most_once, "one taken after has the new effect"
    assert core.state.requests["new"].cap == 2 and core.state.requests["old"].cap is None
    assert (
        core.state.router.jobs["new"].max_attempts == 2 and core.state.router.jobs["old"].max_attempts is None
    )


@pytest.mark.parametrize("reload_first", [True, False])
def test_a_stream_open_at_a_reload_goes_on(tmp_path, reload_first):
    async def test():
        async with running_conductor(tmp_path, write=hang) as program:
            reader, writer = await program.connect()
            writer.write(chat(id="open", left=900))
            await program.writer.wait_for("POST /v1/chat")
            program.reload(settings=settings(lanes=[FRESH]) if reload_first else program.config["settings"])
            await program.line("retuned")
            first = (await asyncio.wait_for(reader.readline(), 5)).decode()
            assert first.split()[1] in ("502", "503"), "its own deadline ends it, as before"

    run(test())
