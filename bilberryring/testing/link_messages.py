"""Messages between processes in which any field may be missing or have any value."""

from hypothesis import strategies as st
from thrift.Thrift import TType

from bilberryring.wire import Envelope

_LIMITS = {TType.I32: 2**31 - 1, TType.I64: 2**63 - 1}
_TEXTS = ("", "x", "ready", "1-x", "bt1~e~i~0~aa", "\u00f1" * 5)
_ATTEMPTS = (1, 2, 3)


def messages() -> st.SearchStrategy[object]:
    """Return a strategy of messages of all kinds."""
    kinds = [spec[3][0] for spec in Envelope.thrift_spec if spec is not None]
    return st.sampled_from(kinds).flatmap(message)


def message(kind: type) -> st.SearchStrategy[object]:
    """Return a strategy of messages of one kind."""
    fields = {
        spec[2]: st.none() | _values(spec[1], spec[3], name=spec[2])
        for spec in kind.thrift_spec
        if spec is not None
    }
    return st.fixed_dictionaries(fields).map(lambda values: kind(**values))


def _values(field_type: int, arguments, *, name: str = "") -> st.SearchStrategy:
    if name == "attempt":
        return st.sampled_from(_ATTEMPTS)
    match field_type:
        case TType.I32 | TType.I64:
            most = _LIMITS[field_type]
            return st.sampled_from([0, 1, 2, -1, most, -most])
        case TType.BOOL:
            return st.booleans()
        case TType.STRING if arguments == "BINARY":
            return st.sampled_from([b"", b"x", b"\xff", b"[" * 50])
        case TType.STRING:
            return st.sampled_from(_TEXTS)
        case TType.LIST:
            return st.lists(_values(arguments[0], arguments[1]), max_size=2)
        case TType.MAP:
            keys = _values(arguments[0], arguments[1])
            return st.dictionaries(keys, _values(arguments[2], arguments[3]))
        case TType.STRUCT:
            return message(arguments[0])
    raise ValueError(f"a field of type {field_type}")
