"""Writes and checks an application's configuration: `python -m hoplane.tool init FOLDER`, `check FILE`."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from hoplane import config as configuration
from hoplane.config import ConfigError
from hoplane.xds import Broken, read_clusters, read_endpoints

TYPES = "type.googleapis.com/envoy.config."
FILE = """\
# hoplane beside the application {name}; check it with: python -m hoplane.tool check FILE
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


def init(folder: Path, name: str, listen: str, endpoints: list[str], once: bool) -> list[Path]:
    """Write an application's files into a folder; nothing that is there is written over."""
    lb_endpoints = []
    for endpoint in endpoints:
        host, port = configuration.address({"endpoint": endpoint}, "endpoint")
        socket = {"address": host, "port_value": port}
        lb_endpoints.append({"endpoint": {"address": {"socket_address": socket}}, "health_status": "HEALTHY"})
    cluster = {
        "@type": TYPES + "cluster.v3.Cluster",
        "name": name,
        "type": "EDS",
        "metadata": {"filter_metadata": {"hoplane": {"kind": "mixed"}}},
    }
    load = {
        "@type": TYPES + "endpoint.v3.ClusterLoadAssignment",
        "cluster_name": name,
        "endpoints": [{"locality": {"zone": "local"}, "lb_endpoints": lb_endpoints}],
    }
    effect = "side_effect" if once else "pure"
    texts = {
        "hoplane.toml": FILE.format(
            name=name, quoted=json.dumps(name), listen=json.dumps(listen), effect=effect
        ),
        "clusters.json": json.dumps({"resources": [cluster]}, indent=1) + "\n",
        "endpoints.json": json.dumps({"resources": [load]}, indent=1) + "\n",
    }
    folder.mkdir(parents=True, exist_ok=True)
    paths = {folder / file: text for file, text in texts.items()}
    if found := [path for path in paths if path.exists()]:
        raise ConfigError(f"{found[0].name}: is there already")
    for path, text in paths.items():
        path.write_text(text)
    return list(paths)


def check(file: Path) -> str:
    """Check a file and the endpoints that it names; gives what was found."""
    config = configuration.from_file(file)
    path = config.files[0]
    try:
        clusters = read_clusters(path.read_bytes())
        path = config.files[1]
        listed = read_endpoints(path.read_bytes(), clusters)
    except (OSError, Broken) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    kinds = {kind.name for kind in config.settings.kinds}
    for each in listed.values():
        for endpoint in each.endpoints:
            if endpoint.kind not in kinds:
                raise ConfigError(f"{path.name}: {endpoint.name}: kind {endpoint.kind} is not known")
    return ", ".join(f"{name}: {len(each.endpoints)} endpoints" for name, each in listed.items())


def main(arguments: list[str]) -> int:
    """Run one command; 2 tells of a faulty key."""
    parser = argparse.ArgumentParser(prog="hoplane.tool", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    making = commands.add_parser("init", help="write hoplane.toml, clusters.json and endpoints.json")
    making.add_argument("folder", type=Path)
    making.add_argument("--name", default="app", help="the application's name, which is the model's")
    making.add_argument("--listen", default="127.0.0.1:8080")
    making.add_argument("--endpoint", action="append", default=[], metavar="HOST:PORT")
    making.add_argument("--once", action="store_true", help="its requests must never run twice")
    checking = commands.add_parser("check", help="check a configuration and its endpoints")
    checking.add_argument("file", type=Path)
    told = parser.parse_args(arguments)
    try:
        if told.command == "init":
            configuration.address({"listen": told.listen}, "listen")
            for path in init(told.folder, told.name, told.listen, told.endpoint, told.once):
                print(path)
        else:
            print(f"{told.file}: well ({check(told.file)})")
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
