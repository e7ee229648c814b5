"""Settings whose default permits more than the file did, missing at a start, a reload or in `check`."""

import copy
import json

import pytest
from conftest import Harness
from standins import KEYED_LANE, SETTINGS
from test_operator import call, operator_address
from test_platform import run, running_conductor

from hoplane import tool
from hoplane.adapter import read_settings
from hoplane.config import ConfigError, flatten, from_platform, load
from hoplane.decision import interface as api

TENANTS = [{"name": name, "share": 0.5, "quota_per_s": 3.0} for name in ("a", "b")]
KEYED_SETTINGS = {**SETTINGS, "lanes": [*SETTINGS["lanes"], KEYED_LANE], "projects": TENANTS}
CONFIG = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:1",
    "limits": {"memory_mb": 192, "sockets": 1024},
    "settings": KEYED_SETTINGS,
}
EMPTY_VALUES = (None, "", [], {})


def changed(change, valid=CONFIG):
    new = copy.deepcopy(valid)
    change(new["settings"])
    return new


def load_file(tmp_path, raw, current=None):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw))
    return load({"EDGE_CONFIG": str(file)}, current=current)


def set_key(path, value):
    """Return a change of the settings: the value at a path is set, or removed for KeyError."""

    def change(settings):
        parent = settings
        for key in path[:-1]:
            parent = parent[key]
        if value is KeyError:
            del parent[path[-1]]
        else:
            parent[path[-1]] = value

    return change


@pytest.mark.parametrize("value", [KeyError, *EMPTY_VALUES], ids=repr)
def test_class_whose_repeats_are_discarded_needs_its_group_at_a_start(value):
    # Guards against repeats in another zone: a missing group was taken for all endpoints.
    with pytest.raises(ConfigError, match=r"^settings.lanes.record.group: is missing"):
        from_platform(changed(set_key(("lanes", 2, "group"), value)))


@pytest.mark.parametrize("value", [KeyError, *EMPTY_VALUES], ids=repr)
@pytest.mark.parametrize(
    "path, named",
    [
        (("lanes", 2, "group"), "lanes.record.group"),
        (("lanes", 2, "window"), "lanes.record.window"),
        (("lanes", 2, "worth"), "lanes.record.worth"),
        (("projects", 0, "quota_per_s"), "projects.a.quota_per_s"),
        (("projects", 1, "share"), "projects.b.share"),
        (("rules", "drain_grace"), "rules.drain_grace"),
        (("allowed", "attempts_cap"), "allowed.attempts_cap"),
    ],
)
def test_reload_must_set_every_key_that_a_class_or_tenant_sets(tmp_path, path, named, value):
    # Guards against a reload that lets a key of a list's item fall back to its default.
    current = load_file(tmp_path, CONFIG)
    with pytest.raises(ConfigError, match=f"^settings.{named}: is missing"):
        load_file(tmp_path, changed(set_key(path, value)), current)


def reorder(settings):
    settings["lanes"].reverse()
    settings["projects"].reverse()


def replace_classes(settings):
    settings["lanes"] = [{**KEYED_LANE, "name": "fresh", "group": "all"}, settings["lanes"][0]]
    del settings["projects"][0]


@pytest.mark.parametrize("change", [reorder, replace_classes])
def test_reload_may_reorder_add_and_drop_classes_and_tenants(tmp_path, change):
    current = load_file(tmp_path, CONFIG)
    new = changed(change)
    assert load_file(tmp_path, new, current).settings == from_platform(new).settings


@pytest.mark.parametrize(
    "tenants, named",
    [
        ([*TENANTS, None], "projects.2: must be an object"),
        ([*TENANTS, "c"], "projects.2: must be an object"),
        ([TENANTS[0], TENANTS[0]], "projects.1.name: is used by another tenant"),
        ({"a": 3.0}, "projects: must be a list"),
        ([{**TENANTS[0], "quota_per_s": -1}], "projects.0.quota_per_s: must be a number of at least 0"),
        ([{**TENANTS[0], "quota_per_s": "3"}], "projects.0.quota_per_s: must be a number of at least 0"),
    ],
)
def test_malformed_tenants_are_rejected(tenants, named):
    # Guards against a list with one malformed item that counted as no tenants, and so as no quotas.
    with pytest.raises(ConfigError, match=f"^settings.{named}"):
        from_platform(changed(set_key(("projects",), tenants)))


@pytest.mark.parametrize("quota, exceeded", [(0.0, True), (1000.0, False), (None, False)])
def test_quota_of_zero_is_no_unlimited_quota(quota, exceeded):
    # Guards against a quota of 0 that was taken for no quota.
    harness = Harness(tenants=(api.TenantSettings("t", 1.0, quota),))
    harness.submit(tenant="t")
    assert harness.router.is_over_quota("t") is exceeded


def test_group_that_the_simulator_does_not_send_is_the_narrowest():
    lanes = [{key: value for key, value in KEYED_LANE.items() if key != "group"}]
    (record,) = read_settings(dict(flatten({**SETTINGS, "lanes": lanes}))).classes
    assert record.group is api.Group.CELL and not record.safe_to_refuse


def test_file_without_a_group_changes_nothing_at_a_reload(tmp_path):
    # Guards against a reload after which a request runs in two zones (review/7).
    async def test():
        address = operator_address()
        async with running_conductor(tmp_path, operator=address, settings=KEYED_SETTINGS) as program:
            program.reload(json.dumps(changed(set_key(("lanes", 2, "group"), KeyError), program.config)))
            error = (await program.line("reload_failed"))["error"]
            assert error.startswith("settings.lanes.record.group: is missing")
            statistics = json.loads((await call(address, b"DUMP\r\n"))[0])
            assert statistics["conf_invalid"] == 1 and statistics["conf_loaded"] == 0
            assert await program.stop() == 0

    run(test())


TOML_LANE = '\n[[settings.lanes]]\nname = "record"\ntarget = 1\nhard_limit = 2\nidempotency = "token"\n'


@pytest.mark.parametrize(
    "text, error",
    [
        (TOML_LANE, "settings.lanes.record.group: is missing"),
        ("\n[ledger]\nkeep = 3600\n", "ledger.keep: unknown key"),
        ("\n[upstream]\nidle = 15\n", "upstream.idle: unknown key"),
        ("\n[leger]\nids = 5\n", "leger: unknown key"),
    ],
)
def test_check_names_the_key_that_would_fall_back_to_its_default(tmp_path, capsys, text, error):
    assert tool.main(["init", str(tmp_path / "app")]) == 0
    file = tmp_path / "app" / "hoplane.toml"
    file.write_text(file.read_text() + text)
    assert tool.main(["check", str(file)]) == 2
    assert capsys.readouterr().err.startswith(error)


def test_limits_that_are_not_set_are_listed(tmp_path, capsys):
    assert tool.main(["init", str(tmp_path / "app")]) == 0
    assert tool.main(["check", str(tmp_path / "app" / "hoplane.toml")]) == 0
    listed = [line for line in capsys.readouterr().out.splitlines() if "not set" in line]
    expected = ["balancers", "rules.cold", "rules.cold_share", "rules.overload_factor"]
    assert [line.partition(":")[0] for line in listed] == [f"settings.{key}" for key in expected]
