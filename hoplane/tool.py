"""Creates and validates a configuration: `python -m hoplane.tool init FOLDER`, `check FILE`."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from hoplane import config as configuration
from hoplane.config import Config, ConfigError
from hoplane.raw_settings import unset_limits
from hoplane.xds import XdsError, read_clusters, read_endpoints

TYPE_URL_PREFIX = "type.googleapis.com/envoy.config."
CONFIG_TEMPLATE = """\
# hoplane in front of the application {name}; validate with: python -m hoplane.tool check FILE
name = {quoted}
listen = {listen}

[limits]
memory_mb = 192
sockets = 1024

[xds]
clusters = "clusters.json"
endpoints = "endpoints.json"

[settings]
kinds = ["mixed"]

[settings.family_info]
duty_by_kind = ["both"]
local_read = true

[settings.allowed]
attempts_cap = 4
cancel = true
retry_after = true
max_retry_after = 1000000000

[settings.rules]
drain_grace = 1000000000

[[settings.lanes]]
name = "default"
target = 1000000000
hard_limit = 5000000000
idempotency = "{effect}"
"""


def init(folder: Path, name: str, listen: str, endpoints: list[str], side_effects: bool) -> list[Path]:
    """Write the configuration files of an application into a folder.

    Raises ConfigError if one of them already exists."""
    lb_endpoints = []
    for endpoint in endpoints:
        host, port = configuration.parse_address({"endpoint": endpoint}, "endpoint")
        socket = {"address": host, "port_value": port}
        lb_endpoints.append({"endpoint": {"address": {"socket_address": socket}}, "health_status": "HEALTHY"})
    cluster = {
        "@type": TYPE_URL_PREFIX + "cluster.v3.Cluster",
        "name": name,
        "type": "EDS",
        "metadata": {"filter_metadata": {"hoplane": {"kind": "mixed"}}},
    }
    load_assignment = {
        "@type": TYPE_URL_PREFIX + "endpoint.v3.ClusterLoadAssignment",
        "cluster_name": name,
        "endpoints": [{"locality": {"zone": "local"}, "lb_endpoints": lb_endpoints}],
    }
    effect = "side_effect" if side_effects else "pure"
    texts = {
        "hoplane.toml": CONFIG_TEMPLATE.format(
            name=name, quoted=json.dumps(name), listen=json.dumps(listen), effect=effect
        ),
        "clusters.json": json.dumps({"resources": [cluster]}, indent=1) + "\n",
        "endpoints.json": json.dumps({"resources": [load_assignment]}, indent=1) + "\n",
    }
    folder.mkdir(parents=True, exist_ok=True)
    paths = {folder / file: text for file, text in texts.items()}
    if existing := [path for path in paths if path.exists()]:
        raise ConfigError(f"{existing[0].name}: already exists")
    for path, text in paths.items():
        path.write_text(text)
    return list(paths)


def check(config: Config) -> str:
    """Validate the endpoint files that a configuration names; return the endpoint counts as text."""
    path = config.files[0]
    try:
        clusters = read_clusters(path.read_bytes())
        path = config.files[1]
        listed = read_endpoints(path.read_bytes(), clusters)
    except (OSError, XdsError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    kinds = {kind.name for kind in config.settings.kinds}
    for cluster in listed.values():
        for endpoint in cluster.endpoints:
            if endpoint.kind not in kinds:
                raise ConfigError(f"{path.name}: {endpoint.name}: unknown kind {endpoint.kind}")
    return ", ".join(f"{name}: {len(cluster.endpoints)} endpoints" for name, cluster in listed.items())


def main(arguments: list[str]) -> int:
    """Run one command; the exit status is 2 on a validation error."""
    parser = argparse.ArgumentParser(prog="hoplane.tool", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    init_parser = commands.add_parser("init", help="write hoplane.toml, clusters.json and endpoints.json")
    init_parser.add_argument("folder", type=Path)
    init_parser.add_argument("--name", default="app", help="name of the application and of its model")
    init_parser.add_argument("--listen", default="127.0.0.1:8080")
    init_parser.add_argument("--endpoint", action="append", default=[], metavar="HOST:PORT")
    init_parser.add_argument(
        "--once", action="store_true", help="requests have side effects and must not run twice"
    )
    check_parser = commands.add_parser("check", help="validate a configuration and its endpoints")
    check_parser.add_argument("file", type=Path)
    options = parser.parse_args(arguments)
    try:
        if options.command == "init":
            configuration.parse_address({"listen": options.listen}, "listen")
            for path in init(options.folder, options.name, options.listen, options.endpoint, options.once):
                print(path)
        else:
            config = configuration.from_file(options.file)
            print(f"{options.file}: valid ({check(config)})")
            for key in unset_limits(config.raw["settings"]):
                print(f"settings.{key}: not set; its default permits the most")
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
