"""Tests that unusual settings are either accepted or rejected with the name of the key at fault."""

import copy
import random

import orjson
import pytest
from standins import SETTINGS

from hoplane.config import ConfigError, from_platform
from hoplane.core.pacing import Pacing
from hoplane.decision.router import Router

VALID_SETTINGS = {
    **SETTINGS,
    "projects": [{"name": name, "share": 0.5, "quota_per_s": 3.0} for name in "ab"],
    "rules": {"drain_grace": 10**9, "fall": 10**9, "cold": 10**10, "cold_share": 0.3, "overload_factor": 2.5},
    "reporting": {"how": "pull", "columns": ["latency_ms", "x0"]},
}
UNUSUAL_VALUES = (0, -1, "x", "", None, [], {}, 1.5, True, "nan", 1e30, -1e30, 10**18, [1], [None], {"a": 1})


def load(settings):
    raw = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": settings}
    return from_platform(orjson.loads(orjson.dumps(raw)))


def paths(value, path=()):
    """Yield the path of every nested value."""
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, each in items:
        yield (*path, key)
        yield from paths(each, (*path, key))


@pytest.mark.parametrize("path", paths(VALID_SETTINGS), ids=lambda path: ".".join(map(str, path)))
def test_unusual_or_missing_value_is_accepted_or_rejected_by_key(path):
    for value in (*UNUSUAL_VALUES, KeyError):
        settings = copy.deepcopy(VALID_SETTINGS)
        parent = settings
        for key in path[:-1]:
            parent = parent[key]
        if value is KeyError:
            del parent[path[-1]]
        else:
            parent[path[-1]] = value
        try:
            config = load(settings)
        except ConfigError as error:
            named = str(error).partition(":")[0].split("=")[0].split(" is ")[0]
            assert named.startswith("settings"), error
            if path[0] in ("lanes", "projects") and len(path) == 3:
                expected = (f"{path[0]}.{path[1]}.", "lanes.lookup.", "lanes.booking.")
                assert any(name in named for name in expected), error
            continue
        Router(config.settings, 1)
        Pacing(config.settings, random.Random(1)).failed(timed_out=True)


def test_many_classes_without_tenants_are_accepted_and_duplicate_names_rejected():
    lane = SETTINGS["lanes"][0]
    lanes = [{**lane, "name": f"class {n}"} for n in range(40)]
    assert len(load({**SETTINGS, "lanes": lanes, "projects": []}).settings.classes) == 40
    with pytest.raises(ConfigError, match="lanes.1.name: is used by another class"):
        load({**SETTINGS, "lanes": [lane, lane]})
    nameless = {key: value for key, value in lane.items() if key != "name"}
    with pytest.raises(ConfigError, match="lanes.0.name is missing"):
        load({**SETTINGS, "lanes": [nameless, nameless]})
