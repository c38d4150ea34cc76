"""Decodes the platform's settings file into the gateway's settings."""

import os
import tomllib
from pathlib import Path

import msgspec

from bilberryring.core import ErrorCode, SettingsError, bytes_from_megabytes
from bilberryring.gateway.settings import GatewayBounds, GatewaySettings

DEFAULT_INTERNAL_PORT = 7340
METRICS_PORT_OFFSET = 1
METRICS_PORT_VARIABLE = "BILBERRYRING_METRICS_PORT"
"""The environment variable that overrides the metrics port.

The deploy file sets it, since it has to know the port."""


class _Listen(msgspec.Struct, kw_only=True):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Platform(msgspec.Struct, kw_only=True):
    address: str


class _Bounds(msgspec.Struct, kw_only=True):
    drain_ms: float = 2_000
    grace_s: float = 8.0
    budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_slack: float = 100.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0
    hold_max_ms: float = 20_000
    free_ms: float = 4_000


class _Limits(msgspec.Struct, kw_only=True):
    memory_mb: float | None = None
    max_fds: int | None = None


class _SettingsFile(msgspec.Struct, kw_only=True):
    node: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Platform
    role: str = ""
    region: str = ""
    # The first port is for messages between entries, the second one for metrics.
    internal_ports: tuple[int, ...] = (DEFAULT_INTERNAL_PORT,)
    # Control addresses of a few VMs; only the host of each one is used.
    seeds: tuple[str, ...] = ()
    zones: dict[str, str] = {}
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    learn_capacity: bool = True
    bootstrap: bool | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_settings(path: Path) -> GatewaySettings:
    """Return the checked settings of a file.

    `SettingsError` names the file or the key at fault, and the remedy.
    """
    try:
        return decode_settings(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise _settings_error(str(path), str(error))


def decode_settings(text: str) -> GatewaySettings:
    """Return the checked settings of a TOML text."""
    try:
        content = msgspec.convert(tomllib.loads(text), _SettingsFile)
    except (
        ValueError,  # Also one of a number with too many digits.
        msgspec.ValidationError,
        RecursionError,
    ) as error:
        raise _settings_error("file", str(error))
    if not content.listen.front:
        raise _settings_error(
            "listen.front", "the address for callers is missing or empty"
        )
    first_port = content.internal_ports[0]
    return GatewaySettings(
        process=content.node,
        failure_domain=content.zone,
        region=content.region,
        host=content.ip,
        caller_address=content.listen.front,
        ready_address=content.listen.ready,
        peer_port=first_port,
        metrics_port=_read_metrics_port(first_port),
        platform_address=content.platform.address,
        seed_hosts=tuple(seed.rsplit(":", 1)[0] for seed in content.seeds),
        regions_by_domain=tuple(content.zones.items()),
        bounds=_convert_bounds(content.bounds),
        learns_capacity=content.learn_capacity,
        memory_bytes=bytes_from_megabytes(content.limits.memory_mb),
        max_descriptors=_plausible_descriptors(content.limits.max_fds),
        is_first_start=content.bootstrap,
    )


def _read_metrics_port(first_port: int) -> int:
    """Return the port from the environment, or the one after `first_port`."""
    text = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not text:
        return first_port + METRICS_PORT_OFFSET
    if not text.isdigit():
        raise _settings_error(METRICS_PORT_VARIABLE, f"{text!r} is not a port number")
    return int(text)


def _plausible_descriptors(count: int | None) -> int | None:
    return None if count is None else max(0, count)


def _convert_bounds(bounds: _Bounds) -> GatewayBounds:
    return GatewayBounds(
        drain_seconds=bounds.grace_s,
        retry_ratio=bounds.budget_ratio,
        retry_slack=bounds.retry_slack,
        retry_window=bounds.budget_window_s,
        cold_ratio=bounds.cold_overage,
        cold_slack=bounds.cold_slack,
        max_hold_seconds=bounds.hold_max_ms / 1_000.0,
    )


def _settings_error(key: str, detail: str) -> SettingsError:
    return SettingsError(code=ErrorCode.SETTINGS_INVALID, key=key, detail=detail)
