"""Encodes and decodes Envelopes with Thrift's compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from bilberryring.wire.gen.ttypes import Envelope

MAX_STRING_BYTES = 64 * 1024 * 1024
ENVELOPE_SPEC = (Envelope, Envelope.thrift_spec)
_FIELD_OF_MESSAGE_TYPE: dict[type, str] = {
    spec[3][0]: spec[2] for spec in Envelope.thrift_spec if spec is not None
}
_ENVELOPE_FIELDS = tuple(Envelope.__slots__)


class FrameError(Exception):
    """Raised for a frame that is not an Envelope; a link that sent it is closed."""


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of one frame, without its length prefix."""
    buffer = TMemoryBuffer()
    envelope.write(TCompactProtocolAccelerated(buffer, fallback=False))
    return buffer.getvalue()


def decode_envelope(frame: bytes) -> Envelope:
    """Return the Envelope in a frame, or raise `FrameError` when it is malformed."""
    envelope = Envelope()
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(frame), fallback=False, string_length_limit=MAX_STRING_BYTES
    )
    try:
        envelope.read(protocol)
    except Exception as error:
        # The compiled decoder raises exceptions of many types for malformed bytes.
        raise FrameError(f"frame_malformed: {error}. Remedy: close the link.")
    return envelope


def encode_message(message: object) -> bytes:
    """Return the bytes of an Envelope that holds one message."""
    envelope = Envelope()
    setattr(envelope, _FIELD_OF_MESSAGE_TYPE[type(message)], message)
    return encode_envelope(envelope)


def decode_message(frame: bytes) -> object | None:
    """Return the message in a frame, or `None` when its type is not known.

    Raises `FrameError` when the frame is malformed.
    """
    envelope = decode_envelope(frame)
    for field in _ENVELOPE_FIELDS:
        message = getattr(envelope, field)
        if message is not None:
            return message
    return None
