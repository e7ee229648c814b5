"""Settings that another customer's file may hold: taken in whole, or turned down with the key's name."""

import copy
import random

import orjson
import pytest
from standins import SETTINGS

from hoplane.config import ConfigError, platform
from hoplane.core.pacing import Pacing
from hoplane.decision.rules import Router

TOLD = {
    **SETTINGS,
    "projects": [{"name": name, "share": 0.5, "quota_per_s": 3.0} for name in "ab"],
    "rules": {"drain_grace": 10**9, "fall": 10**9, "cold": 10**10, "cold_share": 0.3, "overload_factor": 2.5},
    "reporting": {"how": "pull", "columns": ["latency_ms", "x0"]},
}
ODD = (0, -1, "x", "", None, [], {}, 1.5, True, "nan", 1e30, -1e30, 10**18, [1], [None], {"a": 1})


def load(settings):
    told = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": settings}
    return platform(orjson.loads(orjson.dumps(told)))


def places(value, path=()):
    """Give the way to every value below one."""
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, each in items:
        yield (*path, key)
        yield from places(each, (*path, key))


@pytest.mark.parametrize("path", places(TOLD), ids=lambda path: ".".join(map(str, path)))
def test_what_is_odd_or_missing_is_taken_or_named(path):
    for value in (*ODD, KeyError):
        settings = copy.deepcopy(TOLD)
        at = settings
        for key in path[:-1]:
            at = at[key]
        if value is KeyError:
            del at[path[-1]]
        else:
            at[path[-1]] = value
        try:
            config = load(settings)
        except ConfigError as error:
            named = str(error).partition(":")[0].split("=")[0].split(" is ")[0]
            assert named.startswith("settings"), error
            if path[0] in ("lanes", "projects") and len(path) == 3:
                own = (f"{path[0]}.{path[1]}.", "lanes.lookup.", "lanes.booking.")
                assert any(each in named for each in own), error
            continue
        Router(config.settings, 1)
        Pacing(config.settings, random.Random(1)).failed(timed_out=True)


def test_many_classes_and_no_tenant_are_taken_and_two_of_a_name_are_not():
    lane = SETTINGS["lanes"][0]
    lanes = [{**lane, "name": f"class {n}"} for n in range(40)]
    assert len(load({**SETTINGS, "lanes": lanes, "projects": []}).settings.classes) == 40
    with pytest.raises(ConfigError, match="lanes.1.name: is another class's too"):
        load({**SETTINGS, "lanes": [lane, lane]})
    nameless = {key: value for key, value in lane.items() if key != "name"}
    with pytest.raises(ConfigError, match="lanes.0.name is missing"):
        load({**SETTINGS, "lanes": [nameless, nameless]})
