"""The command that runs one simulated service as a separate process."""

import socket
import threading

import click
from twisted.internet import reactor

from bilberryring.core import use_monotonic_time
from bilberryring.http import make_site
from bilberryring.standins.engine_model import EngineParameters
from bilberryring.standins.engine_server import EngineServer
from bilberryring.standins.loopback import BACKLOG
from bilberryring.standins.plain_server import PlainServer
from bilberryring.standins.platform_server import PlatformServer
from bilberryring.standins.scripted_endpoint import ScriptedEndpoint, answer_all
from bilberryring.standins.store_server import StoreServer


@click.group()
def main() -> None:
    """Run a simulated version of a service that bilberryring calls."""
    use_monotonic_time(reactor)


def _serve(resource, host: str, port: int) -> None:
    listening = reactor.listenTCP(port, make_site(resource), interface=host)
    click.echo(f"listening {listening.getHost().port}")
    reactor.run()


@main.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0)
def platform(host: str, port: int) -> None:
    """Run the platform: a key-value store with watches, and the VM list."""
    _serve(PlatformServer(reactor=reactor).resource(), host, port)


@main.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0)
@click.option("--kv-tokens", default=EngineParameters().kv_tokens)
@click.option("--prefill-rate", default=EngineParameters().prefill_rate)
@click.option("--chunk-tokens", default=EngineParameters().chunk_tokens)
@click.option("--step-seconds", default=EngineParameters().step_seconds)
@click.option("--cold-completions", default=0)
@click.option("--cold-bears", default=2)
@click.option("--restart-seconds", default=1.0)
@click.option("--honours-fencing/--ignores-fencing", default=True)
def engine(host: str, port: int, honours_fencing: bool, **parameters) -> None:
    """Run a model engine."""
    server = EngineServer(
        reactor=reactor,
        parameters=EngineParameters(**parameters),
        honours_fencing=honours_fencing,
    )
    _serve(server.resource(), host, port)


@main.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0)
def store(host: str, port: int) -> None:
    """Run the operators' store, whose items can be listed and watched."""
    _serve(StoreServer(reactor=reactor).resource(), host, port)


@main.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0)
def plain(host: str, port: int) -> None:
    """Run a plain service that counts its side effects."""
    _serve(PlainServer(reactor=reactor).resource(), host, port)


@main.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0)
def answers(host: str, port: int) -> None:
    """Run an endpoint of the operators' platform that answers each request at once."""
    listener = socket.create_server((host, port), backlog=BACKLOG)
    ScriptedEndpoint(script=answer_all, listener=listener)
    click.echo(f"listening {listener.getsockname()[1]}")
    threading.Event().wait()


if __name__ == "__main__":
    main()
