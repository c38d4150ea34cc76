"""A proxy for what one gateway and the others send each other, on their own port.

Only the port of that gateway differs, so that all of it comes through here. `is_cut`
drops what that gateway sends, silently, as a link does that carries packets one way.
"""

import asyncio
import contextlib

from review.kit.site import PEER_PORT, PROXIED_PORT


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, forward):
        self._forward = forward

    def datagram_received(self, data, address):
        self._forward(data, address[0])


class OneWayLinks:
    """The links between the gateway `ip` and all the `others`."""

    def __init__(self, ip: str, others: list[str]):
        self.is_cut = False
        self._ip = ip
        self._others = others
        self._inward = {}
        self._outward = None
        self._writers = []

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._outward, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._to_gateway), local_addr=(self._ip, PEER_PORT)
        )
        await asyncio.start_server(self._accept_other, self._ip, PEER_PORT)
        for other in self._others:
            self._inward[other], _ = await loop.create_datagram_endpoint(
                lambda other=other: _Datagrams(
                    lambda data, _: self._to_other(data, other)
                ),
                local_addr=(other, PROXIED_PORT),
            )
            await asyncio.start_server(
                lambda reader, writer, other=other: self._pipe(
                    reader, writer, (other, PEER_PORT), is_from_gateway=True
                ),
                other,
                PROXIED_PORT,
            )

    def close(self) -> None:
        """Drop all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def _to_gateway(self, data: bytes, sender: str) -> None:
        if sender in self._inward:
            self._inward[sender].sendto(data, (self._ip, PROXIED_PORT))

    def _to_other(self, data: bytes, other: str) -> None:
        if not self.is_cut:
            self._outward.sendto(data, (other, PEER_PORT))

    async def _accept_other(self, reader, writer) -> None:
        address = (self._ip, PROXIED_PORT)
        await self._pipe(reader, writer, address, is_from_gateway=False)

    async def _pipe(self, reader, writer, address, *, is_from_gateway: bool) -> None:
        self._writers.append(writer)
        if self.is_cut and is_from_gateway:
            # The packet that opens the connection is lost.
            with contextlib.suppress(OSError):
                await reader.read()
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*address)
        except OSError:
            writer.close()
            return
        self._writers.append(far_writer)
        await asyncio.gather(
            self._copy(reader, far_writer, is_from_gateway),
            self._copy(far_reader, writer, not is_from_gateway),
        )

    async def _copy(self, reader, writer, is_from_gateway: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if not (self.is_cut and is_from_gateway):
                    writer.write(data)
                    await writer.drain()
        writer.close()
