"""Tests that errors in the [lease] and [shared] sections name the key at fault."""

import re
from datetime import timedelta
from pathlib import Path

import pytest

from hoplane.config import ConfigError, load

EXAMPLE_FILE = (Path(__file__).parent.parent / "deploy/kserve.toml").read_text()
ENGINE = 'engine = ["127.0.0.1:2379"]\n'


def load_file(tmp_path, section, text=EXAMPLE_FILE):
    path = tmp_path / "hoplane.toml"
    path.write_text(text + "\n" + section)
    return load({}, path)


@pytest.mark.parametrize(
    ("section", "key"),
    [
        ("[lease]\n", "lease.engine: "),
        ('[lease]\nengine = ["nowhere"]\n', "lease.engine.0: "),
        (f"[lease]\n{ENGINE}ttl = 5\n", "lease.ttl: unknown key"),
        (f"[lease]\n{ENGINE}ttl_s = 0\n", "lease.ttl_s: "),
        (f"[lease]\n{ENGINE}act_ms = 2000\n", "lease.act_ms: too long"),
        (f"[lease]\n{ENGINE}call_ms = 2000\n", "lease.call_ms: "),
        (f"[lease]\n{ENGINE}drift = 0.5\n", "lease.drift: "),
        (f'[lease]\n{ENGINE}drift = "low"\n', "lease.drift: must be a number"),
        (f"[lease]\n{ENGINE}epoch = 0\n", "lease.epoch: "),
        (f"[lease]\n{ENGINE}clock_rate = 9\n", "lease.clock_rate: "),
        (f"[shared]\n{ENGINE}", "shared.most: is missing"),
        (f"[shared]\n{ENGINE}most = 0\n", "shared.most: "),
        (f"[shared]\n{ENGINE}most = 3\nreserve = 2\n", "shared.reserve: "),
        (f"[shared]\n{ENGINE}most = 3\ncold_sends = 0\n", "shared.cold_sends: "),
        (f"[shared]\n{ENGINE}most = 3\nwindow_ms = 4000\n", "shared.window_ms: too long"),
        (f"[shared]\n{ENGINE}most = 3\nevery_ms = 3000\n", "shared.ttl_s: too short"),
        (f"[shared]\n{ENGINE}most = 3\nfailures = 0\n", "shared.failures: "),
    ],
)
def test_invalid_section_is_rejected_with_its_key(tmp_path, section, key):
    with pytest.raises(ConfigError, match="^" + re.escape(key)):
        load_file(tmp_path, section)


def test_budgets_are_rejected_with_reservations_ahead(tmp_path):
    text = EXAMPLE_FILE.replace("[settings.family_info]\n", "[settings.family_info]\nahead = true\n")
    with pytest.raises(ConfigError, match="^shared: not supported with settings.family_info.ahead"):
        load_file(tmp_path, f"[shared]\n{ENGINE}most = 3\n", text)


def test_sections_are_optional_and_have_defaults(tmp_path):
    config = load_file(tmp_path, "")
    assert config.lease is None and config.shared is None
    config = load_file(tmp_path, f"[lease]\n{ENGINE}[shared]\n{ENGINE}most = 6\n")
    assert config.lease.terms.ttl == timedelta(seconds=5) and config.lease.key == "hoplane/patrol"
    assert config.shared.cold_budget.max_members == 6 and config.shared.outlier_rule.min_failures == 3
