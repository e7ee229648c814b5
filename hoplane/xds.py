"""Endpoints from files in Envoy's xDS v3 JSON: clusters and their load assignments."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from zlib import crc32

import orjson

from hoplane import log
from hoplane.config import Config, ConfigError
from hoplane.core.events import Endpoint, EndpointsUpdated
from hoplane.decision.interface import State

LOOK = timedelta(milliseconds=200)  # between looks at the files: a drain must count within 1 s
OURS = "hoplane"  # our key in filter_metadata
HEALTH = {  # whoever is not well gets nothing new, and ends what it has
    "UNKNOWN": State.LIVE,
    "HEALTHY": State.LIVE,
    "DEGRADED": State.LIVE,
    "DRAINING": State.DRAINING,
    "UNHEALTHY": State.DRAINING,
    "TIMEOUT": State.DRAINING,
}


class Broken(Exception):
    """A file that cannot be used, with the place that is wrong."""


def camel(name: str) -> str:
    """Give a field's other spelling: proto3 JSON is read in both."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def pick(value: object, name: str, default: object = None) -> object:
    """Give a field of an object in either spelling."""
    if not isinstance(value, dict):
        raise Broken(f"{name}: is not in an object")
    return value.get(name, value.get(camel(name), default))


def dig(value: object, *names: str) -> object:
    """Give a field some objects deep, None where one is absent."""
    for name in names:
        value = pick(value, name)
        if value is None:
            return None
    return value


def resources(text: bytes, kind: str) -> list[dict]:
    """Give a file's resources of one type: a DiscoveryResponse, a list or a single one."""
    try:
        read = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise Broken(f"not JSON: {error}") from None
    if isinstance(read, dict):
        read = read.get("resources", [read])
    if not isinstance(read, list) or not all(isinstance(each, dict) for each in read):
        raise Broken("resources: must be a list of objects")
    found = [each for each in read if str(each.get("@type", kind)).endswith(kind)]
    if len(found) < len(read):
        raise Broken(f"@type: all must be {kind}")
    return found


def read_clusters(text: bytes) -> dict[str, tuple[str, dict]]:
    """Give each load assignment's name with its cluster's name and our metadata on it."""
    clusters = {}
    for index, each in enumerate(resources(text, "Cluster")):
        name = pick(each, "name")
        if not isinstance(name, str) or not name:
            raise Broken(f"resources.{index}.name: is missing")
        service = dig(each, "eds_cluster_config", "service_name") or name
        clusters[service] = name, dig(each, "metadata", "filter_metadata", OURS) or {}
    return clusters


def read_endpoints(text: bytes, clusters: dict[str, tuple[str, dict]]) -> dict[str, EndpointsUpdated]:
    """Give each cluster's endpoints; a load assignment of no cluster is left out."""
    listed = {name: EndpointsUpdated((), True) for name, _ in clusters.values()}
    for index, each in enumerate(resources(text, "ClusterLoadAssignment")):
        service = pick(each, "cluster_name")
        if service not in clusters:
            continue
        name, common = clusters[service]
        found = []
        for group_at, group in enumerate(pick(each, "endpoints", [])):
            for at, one in enumerate(pick(group, "lb_endpoints", [])):
                where = f"resources.{index}.endpoints.{group_at}.lb_endpoints.{at}"
                found.append(read_endpoint(one, group, common, where))
        names = [endpoint.name for endpoint in found]
        if len(set(names)) < len(names):
            raise Broken(f"resources.{index}: two endpoints share a name")
        listed[name] = EndpointsUpdated(tuple(found), True)
    return listed


def read_endpoint(one: object, group: object, common: dict, where: str) -> Endpoint:
    """Translate one LbEndpoint."""
    socket = dig(one, "endpoint", "address", "socket_address")
    host, port = (pick(socket, "address"), pick(socket, "port_value")) if socket else (None, None)
    if not isinstance(host, str) or not isinstance(port, int) or not 0 < port < 65536:
        raise Broken(f"{where}.endpoint.address.socket_address: address and port_value are needed")
    health = pick(one, "health_status", "UNKNOWN")
    if health not in HEALTH:
        raise Broken(f"{where}.health_status: {health!r} is not known")
    own = {**common, **(dig(one, "metadata", "filter_metadata", OURS) or {})}
    if not isinstance(own.get("kind"), str):
        raise Broken(f"{where}.metadata.filter_metadata.{OURS}.kind: is missing")
    zone, rack = (str(dig(group, "locality", part) or "") for part in ("zone", "sub_zone"))
    address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    try:
        weight = float(pick(one, "load_balancing_weight", 1))
        started = timedelta(milliseconds=own.get("since_ms", 0))
    except (TypeError, ValueError):
        raise Broken(f"{where}: load_balancing_weight and since_ms must be numbers") from None
    return Endpoint(
        str(own.get("name") or address),
        address,
        zone,
        own["kind"],
        crc32(f"{zone}/{rack}".encode()),
        HEALTH[health],
        weight,
        started,
    )


class Files:
    """Two files, looked at again and again; a broken one keeps the last good list."""

    def __init__(
        self, clusters: Path, endpoints: Path, feed: Callable[[str, EndpointsUpdated], None]
    ) -> None:
        self.paths, self.feed = (clusters, endpoints), feed
        self.seen: object = None
        self.told: dict[str, EndpointsUpdated] = {}
        self.after: Files | None = None  # the watch of the configuration after ours

    def __str__(self) -> str:
        return ", ".join(path.name for path in self.paths)

    def moved(self, config: Config) -> Files:
        """Give the watch of a new configuration, once its files are found whole; it knows what was told."""
        files = Files(*config.files, self.feed)
        files.told = self.told
        if broken := files.look():
            raise ConfigError(broken)
        self.after = files
        return files

    def stamp(self) -> object:
        """Give what changes when a file does; a replaced file has another inode."""
        stats = []
        for path in self.paths:
            try:
                stat = path.stat()
                stats.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
            except OSError:
                stats.append(None)
        return stats

    def look(self) -> str | None:
        """Read the files if they changed, and tell each list that did; gives what is broken."""
        stamp = self.stamp()
        if stamp == self.seen:
            return None
        self.seen = stamp
        path = self.paths[0]
        try:
            clusters = read_clusters(path.read_bytes())
            path = self.paths[1]
            found = read_endpoints(path.read_bytes(), clusters)
        except (OSError, Broken, TypeError, AttributeError) as error:
            # Guards against a file half written or wrong: an empty fleet would be worse than an old one.
            log.write_event("xds_broken", file=path.name, error=str(error))
            return f"{path.name}: {error}"
        for name in {*found, *self.told}:
            listed = found.get(name, EndpointsUpdated((), True))
            if self.told.get(name) != listed:
                self.feed(name, listed)
        self.told = found
        return None

    async def first(self) -> None:
        """Have nothing to wait for: at the start the files have been read."""

    async def watch(self) -> None:
        """Look until cancelled, or until another watch does."""
        while self.after is None:
            self.look()
            await asyncio.sleep(LOOK.total_seconds())
