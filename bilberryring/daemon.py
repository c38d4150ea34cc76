"""`bilberryringd`: the daemon in its two roles."""

import sys
from pathlib import Path

import click
from twisted.internet import reactor

from bilberryring.core import SettingsError, use_monotonic_time
from bilberryring.entry.daemon import EntryDaemon
from bilberryring.process.running import run_until_drained
from bilberryring.process.settings import (
    CommonSettings,
    EntrySettings,
    SidecarSettings,
    read_settings,
)
from bilberryring.sidecar.daemon import SidecarDaemon
from bilberryring.telemetry import EventLog

SETTINGS_STATUS = 2
settings_option = click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings in JSON with comments; docs/SETTINGS.md lists every key.",
)


@click.group()
def main() -> None:
    """Run one process of bilberryring; SIGTERM drains it."""


@main.command()
@settings_option
def entry(settings_path: Path) -> None:
    """Answer callers: behind the platform's balancer."""
    _run(settings_path, EntrySettings, EntryDaemon, "entry")


@main.command()
@settings_option
def sidecar(settings_path: Path) -> None:
    """Guard one endpoint: in the slot beside it."""
    _run(settings_path, SidecarSettings, SidecarDaemon, "sidecar")


@main.command()
def gateway() -> None:
    """Answer callers and speak to the endpoints directly, on the platform.

    The platform's own settings file is used; docs/SETTINGS.md says which keys.
    """
    from bilberryring.platform.process import run_gateway

    run_gateway()


def _run(path: Path, shape: type[CommonSettings], daemon_type, role: str) -> None:
    use_monotonic_time(reactor)
    try:
        settings = read_settings(path, shape)
        log = EventLog(process=settings.process, role=role, level=settings.log_level)
        daemon = daemon_type(reactor=reactor, settings=settings, log=log)
        daemon.start()
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(SETTINGS_STATUS)
    run_until_drained(reactor=reactor, daemon=daemon, log=log)


if __name__ == "__main__":
    main()
