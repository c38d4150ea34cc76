"""Reads and checks the daemons' settings, which are JSON with comments."""

import re
from pathlib import Path
from typing import Literal, TypeVar

import msgspec

from bilberryring.core import (
    ErrorCode,
    SettingsError,
    bytes_from_megabytes,
    is_address,
)

URL_PATTERN = re.compile(r"http://(\d{1,3}(?:\.\d{1,3}){3}:\d{1,5})\Z")


class CommonSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The settings that entries and sidecars have in common; times are in seconds.

    `memory_mb` and `max_descriptors` are what the machine gives to the process.
    """

    process: str
    failure_domain: str
    operator_address: str
    platform_url: str
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    drain_seconds: float = 300.0
    memory_mb: float | None = None
    max_descriptors: int | None = None

    def __post_init__(self):
        _require_address(self.operator_address, "operator_address")
        _require_url(self.platform_url, "platform_url")
        if self.drain_seconds <= 0:
            raise ValueError("drain_seconds: must be above 0 seconds")

    @property
    def memory_bytes(self) -> int | None:
        """The memory of the machine; 0 if the setting is implausible."""
        return bytes_from_megabytes(self.memory_mb)


class EntrySettings(CommonSettings, frozen=True, kw_only=True):
    """The settings of an entry."""

    caller_address: str
    tracked_endpoints_per_model: int = 6
    leave_balancer_seconds: float = 0.0

    def __post_init__(self):
        super().__post_init__()
        _require_address(self.caller_address, "caller_address")
        if self.tracked_endpoints_per_model < 2:
            raise ValueError("tracked_endpoints_per_model: must be at least 2")


class SidecarSettings(CommonSettings, frozen=True, kw_only=True):
    """The settings of a sidecar; `target_url` is the address of its endpoint."""

    endpoint: str
    link_address: str
    target_url: str

    def __post_init__(self):
        super().__post_init__()
        _require_address(self.link_address, "link_address")
        _require_url(self.target_url, "target_url")


Settings = TypeVar("Settings", bound=CommonSettings)


def host_and_port(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    >>> host_and_port("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, port = address.rsplit(":", 1)
    return host, int(port)


def read_settings(path: Path, settings_type: type[Settings]) -> Settings:
    """Return the checked settings of a file.

    `SettingsError` names the file or the key at fault, and the remedy.
    """
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _settings_error(str(path), str(error))
    return parse_settings(text, settings_type)


def parse_settings(text: str, settings_type: type[Settings]) -> Settings:
    """Return the checked settings of a text; `SettingsError` names the key at fault."""
    # A gateway imports this module, reads no such text, and saves 1.3 MB.
    import pyjson5

    try:
        content = pyjson5.decode(text, maxdepth=8)
    except (pyjson5.Json5Exception, ValueError) as error:
        raise _settings_error("file", str(error).replace("\n", " ")[:200])
    try:
        return msgspec.convert(content, settings_type)
    except msgspec.ValidationError as error:
        raise _settings_error(_key_of(str(error)), str(error))


def _settings_error(key: str, detail: str) -> SettingsError:
    return SettingsError(code=ErrorCode.SETTINGS_INVALID, key=key, detail=detail)


def _key_of(message: str) -> str:
    """Return the settings key that the message of a validation error names."""
    if " - at `$." in message:
        return message.rsplit("`$.", 1)[1].rstrip("`")
    if "`" in message:
        return message.split("`")[1]
    return message.split(":")[0]


def _require_address(value: str, key: str) -> None:
    if not is_address(value):
        raise ValueError(f"{key}: must be an IPv4 address and a port")


def _require_url(value: str, key: str) -> None:
    match = URL_PATTERN.match(value)
    if match is None or not is_address(match.group(1)):
        raise ValueError(f"{key}: must be http:// with an IPv4 address and a port")
