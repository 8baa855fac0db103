"""Checks of the platform's settings file and of the deploy file.

`read_settings` stops at the first error, which is enough for a process that cannot
start. These checks serve operators: they report all errors, each with a valid value.
"""

import ipaddress
import tomllib
from pathlib import Path
from typing import Any

from monsoontack.core.errors import FieldError

VM_CLASSES = ("edge", "side")
SERVED_TRAFFIC = ("edge", "side", "control")
MAX_TEMPLATE_BYTES = 65_536
REQUIRED_SETTINGS = (
    ("node_name", "text", "a name such as edge-1"),
    ("ip", "ip", "an IP number such as 10.1.0.19"),
    ("zone", "text", "a name that stands in [zones]"),
    ("region", "text", "a name such as north"),
    ("port_range", "ports", "two ports such as [7200, 7215]"),
    ("listen.front", "address", "ip:port for callers"),
    ("listen.ready", "address", "ip:port for readiness"),
    ("limits.memory_mb", "positive", "megabytes above 0"),
    ("platform.address", "address", "ip:port of the store"),
    ("zones", "table", "the region of each zone"),
)
OPTIONAL_NUMBERS = (
    "bounds.grace_s",
    "bounds.revoke_ms",
    "bounds.retry_ratio",
    "bounds.retry_window_s",
    "bounds.retry_extra",
    "bounds.canary_share",
    "bounds.canary_tolerance",
)
OPTIONAL_COUNTS = (
    ("limits.max_fds", 1),
    ("inbound.header_lines", 0),
    ("inbound.line_bytes", 0),
    ("inbound.empty_lines", 0),
    ("inbound.connections_per_address", 0),
    ("inbound.connections", 0),
    ("inbound.min_body_bytes_s", 0),
)


def check_settings(path: Path) -> list[FieldError]:
    """Return all errors in a settings file."""
    document, errors = _load_toml(path)
    if document is None:
        return errors
    for name, kind, expected in REQUIRED_SETTINGS:
        value = _find_value(document, name)
        if value is None:
            errors.append(FieldError(str(path), name, f"is missing; give {expected}"))
        elif not _VALUE_CHECKS[kind](value):
            message = f"is {value!r}; give {expected}"
            errors.append(FieldError(str(path), name, message))
    for name in OPTIONAL_NUMBERS:
        value = _find_value(document, name)
        if value is not None and not _is_positive(value):
            message = f"is {value!r}; give a number above 0"
            errors.append(FieldError(str(path), name, message))
    for name, least in OPTIONAL_COUNTS:
        value = _find_value(document, name)
        if value is not None and not _is_count(value, least):
            message = f"is {value!r}; give a whole number of {least} or more"
            errors.append(FieldError(str(path), name, message))
    return errors + _check_zone(path, document)


def _check_zone(path: Path, document: dict) -> list[FieldError]:
    zones, zone = document.get("zones"), document.get("zone")
    if isinstance(zones, dict) and isinstance(zone, str) and zone not in zones:
        known = ", ".join(zones) or "nothing"
        return [FieldError(str(path), "zone", f"{zone!r} is not in [zones]: {known}")]
    return []


def check_deploy(path: Path) -> list[FieldError]:
    """Return all errors in a deploy file."""
    document, errors = _load_toml(path)
    if document is None:
        return errors
    if not isinstance(document.get("build"), str):
        message = "is missing; give the shell command that builds"
        errors.append(FieldError(str(path), "build", message))
    roles = document.get("roles")
    if not isinstance(roles, dict) or not roles:
        message = "is missing; give a table [roles.NAME] for each program"
        return [*errors, FieldError(str(path), "roles", message)]
    for name, role in roles.items():
        errors += _check_role(path, f"roles.{name}", role)
    return errors


def _check_role(path: Path, where: str, role: Any) -> list[FieldError]:
    if not isinstance(role, dict):
        return [FieldError(str(path), where, "is not a table")]
    problems = []
    if not isinstance(role.get("run"), str) or not role["run"].strip():
        problems.append(("run", "give the program and its arguments"))
    if role.get("on") not in VM_CLASSES:
        problems.append(
            ("on", f"is {role.get('on')!r}; give one of {', '.join(VM_CLASSES)}")
        )
    share = role.get("share", 1.0)
    if not _is_positive(share) or share > 1:
        problems.append(("share", f"is {share!r}; give a number above 0, at most 1"))
    serves = role.get("serves", [])
    if not isinstance(serves, list) or set(map(str, serves)) - set(SERVED_TRAFFIC):
        problems.append(
            ("serves", f"is {serves!r}; give some of {', '.join(SERVED_TRAFFIC)}")
        )
    metrics = role.get("metrics")
    if metrics is not None and not str(metrics).partition("/")[0].isdigit():
        problems.append(("metrics", f"is {metrics!r}; give PORT/PATH"))
    problems += _check_template(path, role.get("template"))
    return [FieldError(str(path), f"{where}.{name}", text) for name, text in problems]


def _check_template(path: Path, template: Any) -> list[tuple[str, str]]:
    if template is None:
        return []
    file = path.parent.parent / str(template)
    if not file.is_file():
        return [("template", f"{template!r} is not a file in the repository")]
    if file.stat().st_size >= MAX_TEMPLATE_BYTES:
        return [("template", f"{template!r} must be smaller than 64 KiB")]
    return []


def _load_toml(path: Path) -> tuple[dict | None, list[FieldError]]:
    try:
        return tomllib.loads(path.read_text()), []
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return None, [FieldError(str(path), "", str(error))]


def _find_value(document: dict, name: str) -> Any:
    value: Any = document
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def _is_ip(value: Any) -> bool:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return isinstance(value, str)


def _is_address(value: Any) -> bool:
    host, _, port = str(value).rpartition(":")
    return _is_ip(host) and port.isdigit() and 0 < int(port) < 65_536


def _is_positive(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and value > 0


def _is_count(value: Any, least: int) -> bool:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and value >= least


def _is_port_range(value: Any) -> bool:
    if not isinstance(value, list) or len(value) != 2:
        return False
    return all(isinstance(port, int) for port in value) and 0 < value[0] < value[1]


_VALUE_CHECKS = {
    "text": lambda value: isinstance(value, str) and value != "",
    "ip": _is_ip,
    "address": _is_address,
    "positive": _is_positive,
    "ports": _is_port_range,
    "table": lambda value: isinstance(value, dict) and bool(value),
}
