"""Keeps modules out of memory that libraries import and the process never uses.

The libraries import them for functions that no process of this system calls: TLS, the
OpenSSL versions of hash functions, cookies and HTML pages.
"""

import importlib.util
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from importlib.machinery import ModuleSpec, PathFinder

ABSENT_MODULES = ("ssl",)
"""Optional modules of the standard library. All of its users have a branch for an
interpreter that is built without them."""
OPENSSL_HASHES = "_hashlib"
"""The module that loads the OpenSSL library for `hashlib`, which takes 3.5 MB. Without
it, `hashlib` takes the interpreter's own hash functions, with the same results."""
BUILT_IN_HASHES = (
    "_md5",
    "_sha1",
    "_sha3",
    "_blake2",
    *(("_sha2",) if sys.version_info >= (3, 12) else ("_sha256", "_sha512")),
)
DEFERRED_MODULES = ("twisted.web.util", "urllib.request")
"""Modules of which no attribute is read while the libraries are imported, nor while
requests are served. They are loaded when the first attribute is read."""


class _DeferringFinder:
    """Finds the deferred modules with a loader that waits for the first access.

    It has no base class: the import of `importlib.abc` takes 0.2 MB.
    """

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target=None
    ) -> ModuleSpec | None:
        if fullname not in DEFERRED_MODULES:
            return None
        spec = PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = importlib.util.LazyLoader(spec.loader)
        return spec


@contextmanager
def needed_modules_only() -> Iterator[None]:
    """Defer or leave out what the process never uses while the block imports libraries.

    A later import of a module that was left out finds it again.
    """
    absent = [name for name in _absent_modules() if name not in sys.modules]
    finder = _DeferringFinder()
    sys.meta_path.insert(0, finder)
    # An import of a name whose entry is `None` raises `ImportError`.
    sys.modules.update(dict.fromkeys(absent))
    try:
        yield
    finally:
        sys.meta_path.remove(finder)
        for name in absent:
            if sys.modules.get(name) is None:
                sys.modules.pop(name, None)


def _absent_modules() -> Iterator[str]:
    """Yield what is left out; an interpreter may lack hash functions of its own."""
    yield from ABSENT_MODULES
    if all(importlib.util.find_spec(name) for name in BUILT_IN_HASHES):
        yield OPENSSL_HASHES
