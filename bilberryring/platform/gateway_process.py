"""Runs the gateway as a process on the operators' platform."""

import sys

from twisted.internet import reactor

from bilberryring.core import SettingsError, use_monotonic_time
from bilberryring.gateway.daemon import GatewayDaemon
from bilberryring.platform.adapter import (
    HttpHeaderCodec,
    PlatformAdapter,
    load_settings,
    settings_version,
)
from bilberryring.process.early_listener import EarlyListener
from bilberryring.process.running import run_until_drained, start_unless_terminated
from bilberryring.telemetry import EventLog, standard_output

SETTINGS_ERROR_STATUS = 2


def run_gateway(early_listener: EarlyListener | None = None) -> None:
    """Run one gateway until a signal stops it and its requests are drained.

    `early_listener` is its listener for callers if one was opened already. Faulty
    settings end the process with the status `SETTINGS_ERROR_STATUS`.
    """
    use_monotonic_time(reactor)
    try:
        # A change during the read is taken for a later one, and is read again.
        loaded_version = settings_version()
        settings = load_settings()
        output = standard_output(seconds=reactor.seconds)
        log = EventLog(
            process=settings.process,
            role="gateway",
            stream=output,
            reserved_stream=output.reserved,
        )
        daemon = GatewayDaemon(
            reactor=reactor,
            settings=settings,
            log=log,
            codec=HttpHeaderCodec(),
            adapter_class=PlatformAdapter,
            reload_settings=load_settings,
            settings_version=settings_version,
            loaded_settings_version=loaded_version,
            output=output,
            early_listener=early_listener,
        )
        is_started = start_unless_terminated(daemon=daemon, log=log)
    except SettingsError as error:
        # The process ends here; others are spared the memory of this library.
        import click

        click.echo(str(error), err=True)
        sys.exit(SETTINGS_ERROR_STATUS)
    if is_started:
        run_until_drained(reactor=reactor, daemon=daemon, log=log)
