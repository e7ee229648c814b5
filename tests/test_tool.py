"""Tests that the tool writes a valid configuration and names the key at fault in an invalid one."""

import pytest

from hoplane import tool


@pytest.fixture
def app(tmp_path):
    arguments = ["--name", "desk", "--listen", "127.0.0.1:9000", "--endpoint", "127.0.0.1:9001", "--once"]
    assert tool.main(["init", str(tmp_path / "app"), *arguments]) == 0
    return tmp_path / "app"


def test_init_writes_valid_configuration(app, capsys):
    assert tool.main(["check", str(app / "hoplane.toml")]) == 0
    assert "desk: 1 endpoints" in capsys.readouterr().out
    assert tool.main(["init", str(app)]) == 2, "existing files must not be overwritten"


def test_example_configuration_is_valid():
    assert tool.main(["check", "deploy/kserve.toml"]) == 0


@pytest.mark.parametrize(
    ("file", "old", "new", "expected"),
    [
        ("hoplane.toml", "sockets = 1024", "sockets = 32", "limits.sockets: must be at least 64"),
        ("hoplane.toml", "memory_mb = 192", 'memory_mb = "much"', "limits.memory_mb: must be a whole number"),
        ("hoplane.toml", "127.0.0.1:9000", "127.0.0.1", "listen: must be HOST:PORT"),
        ("hoplane.toml", "target = 1000000000", "", "settings.lanes.default.target: is missing"),
        (
            "hoplane.toml",
            "target = 1000000000",
            "target = 0",
            "lanes.default.target: must be a number above 0",
        ),
        ("hoplane.toml", 'clusters = "clusters.json"', "", "xds.clusters: is missing"),
        ("hoplane.toml", "side_effect", "perhaps", "idempotency=perhaps"),
        ("hoplane.toml", "[limits]", "[limits", "hoplane.toml: "),
        ("clusters.json", '"name": "desk"', '"name": ""', "clusters.json: resources.0.name: is missing"),
        ("endpoints.json", "HEALTHY", "FINE", "lb_endpoints.0.health_status"),
        ("endpoints.json", "9001", "0", "socket_address"),
    ],
)
def test_check_names_key_at_fault(app, capsys, file, old, new, expected):
    path = app / file
    assert old in path.read_text()
    path.write_text(path.read_text().replace(old, new))
    assert tool.main(["check", str(app / "hoplane.toml")]) == 2
    assert expected in capsys.readouterr().err
