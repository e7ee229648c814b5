"""Reads endpoints from files in Envoy's xDS v3 JSON format: clusters and their load assignments."""

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

POLL_INTERVAL = timedelta(milliseconds=200)  # a drain must take effect within 1 s
METADATA_KEY = "hoplane"  # of the conductor's entries in filter_metadata
STATE_BY_HEALTH = {  # an unhealthy endpoint gets no new requests and finishes those in flight
    "UNKNOWN": State.LIVE,
    "HEALTHY": State.LIVE,
    "DEGRADED": State.LIVE,
    "DRAINING": State.DRAINING,
    "UNHEALTHY": State.DRAINING,
    "TIMEOUT": State.DRAINING,
}


class XdsError(Exception):
    """A malformed file; the message starts with the path of the field at fault."""


def camel_case(name: str) -> str:
    """Convert a field name to lowerCamelCase; proto3 JSON parsers accept both spellings."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def get_field(value: object, name: str, default: object = None) -> object:
    """Return a field of an object, accepting either spelling of its name."""
    if not isinstance(value, dict):
        raise XdsError(f"{name}: parent is not an object")
    return value.get(name, value.get(camel_case(name), default))


def get_nested(value: object, *names: str) -> object:
    """Return the field at a path of names, or None if any of them is absent."""
    for name in names:
        value = get_field(value, name)
        if value is None:
            return None
    return value


def read_resources(text: bytes, type_name: str) -> list[dict]:
    """Parse a file's resources, all of which must be of one type.

    The file is a DiscoveryResponse, a list or a single resource."""
    try:
        parsed = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise XdsError(f"not JSON: {error}") from None
    if isinstance(parsed, dict):
        parsed = parsed.get("resources", [parsed])
    if not isinstance(parsed, list) or not all(isinstance(each, dict) for each in parsed):
        raise XdsError("resources: must be a list of objects")
    matching = [each for each in parsed if str(each.get("@type", type_name)).endswith(type_name)]
    if len(matching) < len(parsed):
        raise XdsError(f"@type: all must be {type_name}")
    return matching


def read_clusters(text: bytes) -> dict[str, tuple[str, dict]]:
    """Map the name of each load assignment to its cluster's name and the cluster's hoplane metadata."""
    clusters = {}
    for index, each in enumerate(read_resources(text, "Cluster")):
        name = get_field(each, "name")
        if not isinstance(name, str) or not name:
            raise XdsError(f"resources.{index}.name: is missing")
        service = get_nested(each, "eds_cluster_config", "service_name") or name
        clusters[service] = name, get_nested(each, "metadata", "filter_metadata", METADATA_KEY) or {}
    return clusters


def read_endpoints(text: bytes, clusters: dict[str, tuple[str, dict]]) -> dict[str, EndpointsUpdated]:
    """Return the endpoints by cluster; load assignments without a cluster are skipped."""
    lists = {name: EndpointsUpdated((), True) for name, _ in clusters.values()}
    for index, each in enumerate(read_resources(text, "ClusterLoadAssignment")):
        service = get_field(each, "cluster_name")
        if service not in clusters:
            continue
        name, cluster_metadata = clusters[service]
        endpoints = []
        for group_index, group in enumerate(get_field(each, "endpoints", [])):
            for endpoint_index, lb_endpoint in enumerate(get_field(group, "lb_endpoints", [])):
                where = f"resources.{index}.endpoints.{group_index}.lb_endpoints.{endpoint_index}"
                endpoints.append(read_endpoint(lb_endpoint, group, cluster_metadata, where))
        names = [endpoint.name for endpoint in endpoints]
        if len(set(names)) < len(names):
            raise XdsError(f"resources.{index}: two endpoints have the same name")
        lists[name] = EndpointsUpdated(tuple(endpoints), True)
    return lists


def read_endpoint(lb_endpoint: object, group: object, cluster_metadata: dict, where: str) -> Endpoint:
    """Convert one LbEndpoint."""
    socket = get_nested(lb_endpoint, "endpoint", "address", "socket_address")
    host, port = (get_field(socket, "address"), get_field(socket, "port_value")) if socket else (None, None)
    if not isinstance(host, str) or not isinstance(port, int) or not 0 < port < 65536:
        raise XdsError(f"{where}.endpoint.address.socket_address: address and port_value are required")
    health = get_field(lb_endpoint, "health_status", "UNKNOWN")
    if health not in STATE_BY_HEALTH:
        raise XdsError(f"{where}.health_status: unknown value {health!r}")
    metadata = {
        **cluster_metadata,
        **(get_nested(lb_endpoint, "metadata", "filter_metadata", METADATA_KEY) or {}),
    }
    if not isinstance(metadata.get("kind"), str):
        raise XdsError(f"{where}.metadata.filter_metadata.{METADATA_KEY}.kind: is missing")
    zone, rack = (str(get_nested(group, "locality", part) or "") for part in ("zone", "sub_zone"))
    address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
    try:
        weight = float(get_field(lb_endpoint, "load_balancing_weight", 1))
        started = timedelta(milliseconds=metadata.get("since_ms", 0))
    except (TypeError, ValueError):
        raise XdsError(f"{where}: load_balancing_weight and since_ms must be numbers") from None
    return Endpoint(
        str(metadata.get("name") or address),
        address,
        zone,
        metadata["kind"],
        crc32(f"{zone}/{rack}".encode()),
        STATE_BY_HEALTH[health],
        weight,
        started,
    )


class FileWatch:
    """Polls the two files for changes. While one is malformed, the last valid list stays in use."""

    def __init__(
        self, clusters: Path, endpoints: Path, feed: Callable[[str, EndpointsUpdated], None]
    ) -> None:
        self.paths, self.feed = (clusters, endpoints), feed
        self.last_stamp: object = None
        self.reported: dict[str, EndpointsUpdated] = {}
        self.successor: FileWatch | None = None  # the watch that replaced this one on a reload

    def __str__(self) -> str:
        return ", ".join(path.name for path in self.paths)

    def reconfigure(self, config: Config) -> FileWatch:
        """Return the watch for a new configuration, which inherits the lists reported so far.

        Raises a ConfigError if the new files are malformed."""
        watch = FileWatch(*config.files, self.feed)
        watch.reported = self.reported
        if error := watch.poll():
            raise ConfigError(error)
        self.successor = watch
        return watch

    def stamp(self) -> object:
        """Return a value that changes with the files; the inode covers files replaced by a rename."""
        stats = []
        for path in self.paths:
            try:
                stat = path.stat()
                stats.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
            except OSError:
                stats.append(None)
        return stats

    def poll(self) -> str | None:
        """Read the files if they changed and report each list that changed; return the error, if any."""
        stamp = self.stamp()
        if stamp == self.last_stamp:
            return None
        self.last_stamp = stamp
        path = self.paths[0]
        try:
            clusters = read_clusters(path.read_bytes())
            path = self.paths[1]
            lists = read_endpoints(path.read_bytes(), clusters)
        except (OSError, XdsError, TypeError, AttributeError) as error:
            # If a file is malformed or partly written, the last valid list stays in use: such a file must not
            # empty the fleet.
            log.write_event("xds_broken", file=path.name, error=str(error))
            return f"{path.name}: {error}"
        for name in {*lists, *self.reported}:
            listed = lists.get(name, EndpointsUpdated((), True))
            if self.reported.get(name) != listed:
                self.feed(name, listed)
        self.reported = lists
        return None

    async def wait_until_ready(self) -> None:
        """Return at once: the files were read at the start."""

    async def watch(self) -> None:
        """Poll until cancelled or replaced by another watch."""
        while self.successor is None:
            self.poll()
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
