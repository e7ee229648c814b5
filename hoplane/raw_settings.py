"""Checks of a parsed configuration file, before defaults are applied; errors name the key at fault.

Once a file is converted, a missing or empty value can't be told from its default, and some defaults permit
more than any value that the file could have had."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

# Keys that a reload does not compare: they may differ at each start, and a reload does not use them.
NOT_COMPARED_KEYS = ("seed", "known")
# Settings that limit nothing while they are not set. They may be absent: not every deployment has them.
OPTIONAL_LIMITS = (
    "balancers",
    "allowed.attempts_cap",
    "rules.cold",
    "rules.cold_share",
    "rules.overload_factor",
)


class ConfigError(Exception):
    """A validation error; the message starts with the key at fault."""


def is_empty(value: object) -> bool:
    """Return whether a value sets nothing: null, or an empty text, list or object."""
    return value is None or (isinstance(value, str | list | dict) and not value)


def check_settings(raw_settings: dict, where: str) -> None:
    """Check the classes, the tenants and the number of attempts in the file itself.

    Once flattened to the simulator's wire format, a string or a 0 would pass as a valid value, and a list
    with an item that is no object as an empty one."""
    lanes = raw_settings.get("lanes")
    if not isinstance(lanes, list) or not lanes:
        raise ConfigError(f"{where}lanes: " + ("is missing" if lanes is None else "must be a list"))
    check_objects(lanes, f"{where}lanes.", "class")
    for index, lane in enumerate(lanes):
        check_class(lane, f"{where}lanes.{lane.get('name', index)}.")
    allowed = raw_settings.get("allowed")
    if isinstance(allowed, dict) and "attempts_cap" in allowed:
        check_positive(allowed, "attempts_cap", f"{where}allowed.")
    check_tenants(raw_settings.get("projects"), f"{where}projects")


def check_objects(items: list, where: str, kind: str) -> None:
    """Check that all items of a list are objects, each with another name; `kind` says what they are."""
    names = set()
    for index, item in enumerate(items):
        if not isinstance(item, dict):
            raise ConfigError(f"{where}{index}: must be an object")
        name = item.get("name")
        if name is not None and str(name) in names:
            raise ConfigError(f"{where}{index}.name: is used by another {kind}")
        names.add(str(name))


def check_class(lane: dict, where: str) -> None:
    """Check the times of a class, and the group of one whose requests endpoints discard as duplicates.

    No default of the group is safe for every deployment: at a wider one than theirs, endpoints run a
    duplicate."""
    for key in ("target", "hard_limit"):
        check_positive(lane, key, where)
    if lane.get("idempotency") == "token" and is_empty(lane.get("group")):
        raise ConfigError(f"{where}group: is missing; it is required for the idempotency token")


def check_tenants(tenants: object, where: str) -> None:
    """Check the tenants and their quotas; no tenants at all may be given by any empty value."""
    if is_empty(tenants):
        return
    if not isinstance(tenants, list):
        raise ConfigError(f"{where}: must be a list")
    check_objects(tenants, f"{where}.", "tenant")
    for index, tenant in enumerate(tenants):
        quota = tenant.get("quota_per_s")
        if quota is not None and (not is_number(quota) or not quota >= 0):
            raise ConfigError(f"{where}.{index}.quota_per_s: must be a number of at least 0")


def is_number(value: object) -> bool:
    """Return whether a value is a number and no boolean."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def check_positive(raw: dict, key: str, where: str) -> None:
    """Check that a number is present and above 0."""
    value = raw.get(key)
    if value is None:
        raise ConfigError(f"{where}{key}: is missing")
    if not is_number(value) or not value > 0:
        raise ConfigError(f"{where}{key}: must be a number above 0")


def check_known_keys(raw: dict, known: Iterable[str], where: str) -> None:
    """Check that a section has no other keys; a misspelled one would leave its setting at the default."""
    if unknown := set(raw) - set(known):
        raise ConfigError(f"{where}{min(unknown)}: unknown key")


def check_no_key_missing(old: object, new: object, where: str = "") -> None:
    """Check that a reloaded file sets every key that the active one sets, at all levels.

    In a truncated or partly written file, the missing keys would otherwise fall back to their defaults.
    Items of a list of objects are matched by their names: a reload may add, drop and reorder them."""
    if isinstance(old, dict):
        check_object_complete(old, new, where)
    elif isinstance(old, list) and any(isinstance(item, dict) for item in old):
        check_list_complete(old, new, where)


def check_object_complete(old: dict, new: object, where: str) -> None:
    """Check that an object of a reloaded file sets every key that the active one sets."""
    if not isinstance(new, dict):
        raise ConfigError(f"{where.rstrip('.')}: must be an object")
    for key, value in old.items():
        if where == "" and key in NOT_COMPARED_KEYS:
            continue
        compared_inside = isinstance(value, dict | list) and type(new.get(key)) is type(value)
        emptied = is_empty(new.get(key)) and not is_empty(value) and not compared_inside
        if key not in new or emptied:
            raise ConfigError(f"{where}{key}: is missing")
        check_no_key_missing(value, new[key], f"{where}{key}.")


def check_list_complete(old: list, new: object, where: str) -> None:
    """Check that each object of a list that keeps its name sets every key that it sets in the active file."""
    if not isinstance(new, list):
        raise ConfigError(f"{where.rstrip('.')}: must be a list")
    old_items = {item["name"]: item for item in old if isinstance(item, dict) and "name" in item}
    for item in new:
        name = item.get("name") if isinstance(item, dict) else None
        if isinstance(name, str) and name in old_items:
            check_object_complete(old_items[name], item, f"{where}{name}.")


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Flatten nested settings to the names and values of the simulator's wire format."""
    if isinstance(value, dict):
        for key, each in value.items():
            yield from flatten(each, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and value and all(isinstance(each, dict) for each in value):
        yield f"{path}.count", str(len(value))
        for index, each in enumerate(value):
            yield from flatten(each, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "1" if value else "0"
    elif value is not None:
        yield path, str(value)


def unset_limits(raw_settings: dict) -> list[str]:
    """Return the limits that the settings leave unset, by key; each of them then limits nothing."""
    fields = dict(flatten(raw_settings))
    unset = [key for key in OPTIONAL_LIMITS if not fields.get(key)]
    tenants = raw_settings.get("projects") or ()
    without_quota = (tenant for tenant in tenants if is_empty(tenant.get("quota_per_s")))
    return [*unset, *(f"projects.{tenant.get('name')}.quota_per_s" for tenant in without_quota)]
