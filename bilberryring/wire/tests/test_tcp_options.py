"""Connections and links to hosts that vanish without a close."""

import socket

import pytest
from twisted.internet.task import Clock

from bilberryring.core import KEEPALIVE_SECONDS, set_tcp_options
from bilberryring.wire import LinkProtocol

LONGEST_PAUSE_SECONDS = 2.2
"""For how long a sound host may send nothing, not even acknowledgements."""


class SocketTransport:
    """The part of a transport that sets options of a real socket."""

    def __init__(self, raw):
        self._raw = raw

    def getHandle(self):
        return self._raw

    def setTcpNoDelay(self, enabled):
        self._raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled)

    def setTcpKeepAlive(self, enabled):
        self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, enabled)


def open_link(transport):
    LinkProtocol(
        clock=Clock(),
        on_open=lambda link: None,
        on_message=lambda link, message: None,
        on_closed=lambda link: None,
    ).makeConnection(transport)


@pytest.mark.parametrize("use", [set_tcp_options, open_link])
def test_a_host_that_is_gone_is_noticed_while_an_answer_is_awaited(use):
    with socket.socket() as raw:
        use(SocketTransport(raw))
        assert raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle, interval, user_timeout_ms = (
            raw.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_USER_TIMEOUT,
            )
        )
    assert (idle, interval) == (KEEPALIVE_SECONDS, KEEPALIVE_SECONDS)
    assert LONGEST_PAUSE_SECONDS < user_timeout_ms / 1_000 <= 5.0
