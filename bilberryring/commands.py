"""The commands of `bilberryringd`: an entry, a sidecar or a gateway."""

import sys
from pathlib import Path

import click
from twisted.internet import reactor

from bilberryring.core import SettingsError, use_monotonic_time
from bilberryring.entry.daemon import EntryDaemon
from bilberryring.process.running import run_until_drained, start_unless_terminated
from bilberryring.process.settings import (
    CommonSettings,
    EntrySettings,
    SidecarSettings,
    read_settings,
)
from bilberryring.sidecar.daemon import SidecarDaemon
from bilberryring.telemetry import EventLog

SETTINGS_ERROR_STATUS = 2
"""Exit status when the process cannot start with its settings."""
settings_option = click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings file, JSON with comments; docs/SETTINGS.md lists the keys.",
)


@click.group()
def run() -> None:
    """Run one process of bilberryring.

    On SIGTERM the process drains and then exits.
    """


@run.command()
@settings_option
def entry(settings_path: Path) -> None:
    """Run an entry, which serves callers.

    It runs behind the load balancer of the platform.
    """
    _run(settings_path, EntrySettings, EntryDaemon, "entry")


@run.command()
@settings_option
def sidecar(settings_path: Path) -> None:
    """Run a sidecar, which controls access to one endpoint.

    It runs in the slot beside the endpoint.
    """
    _run(settings_path, SidecarSettings, SidecarDaemon, "sidecar")


@run.command()
def gateway() -> None:
    """Run a gateway between callers and endpoints.

    It runs on the platform, serves callers and connects to the endpoints directly. It
    reads the platform's settings file; docs/SETTINGS.md lists the keys that it uses.
    """
    from bilberryring.platform.gateway_process import run_gateway

    run_gateway()


def _run(
    path: Path, settings_class: type[CommonSettings], daemon_class, role: str
) -> None:
    use_monotonic_time(reactor)
    try:
        settings = read_settings(path, settings_class)
        log = EventLog(process=settings.process, role=role, level=settings.log_level)
        daemon = daemon_class(reactor=reactor, settings=settings, log=log)
        is_started = start_unless_terminated(daemon=daemon, log=log)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(SETTINGS_ERROR_STATUS)
    if is_started:
        run_until_drained(reactor=reactor, daemon=daemon, log=log)
