"""The command that runs the relay as a separate process."""

import click
from twisted.internet import reactor

from bilberryring.core import use_monotonic_time
from bilberryring.http import make_site
from bilberryring.testing.relay import RelayServer


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0)
def main(host: str, port: int) -> None:
    """Run a TCP relay whose routes can be cut, refused or held back."""
    use_monotonic_time(reactor)
    site = make_site(RelayServer(reactor=reactor).resource())
    listening = reactor.listenTCP(port, site, interface=host)
    click.echo(f"listening {listening.getHost().port}")
    reactor.run()


if __name__ == "__main__":
    main()
