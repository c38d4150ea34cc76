"""Modules that libraries import and a process never uses."""

import subprocess
import sys

import pytest

from bilberryring.process.library_imports import (
    DEFERRED_MODULES,
    needed_modules_only,
)


def run(code: str) -> list[str]:
    """Return the words that a new interpreter prints, without a warning or error."""
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert not completed.stderr
    return completed.stdout.split()


def test_hash_functions_are_the_same_without_openssl():
    """Guards against an interpreter whose own functions are missing or differ."""
    code = """
import hashlib, hmac
digests = [hashlib.new(name, b"text").hexdigest() for name in
    ("md5", "sha1", "sha256", "sha512", "sha3_256", "blake2b", "blake2s")]
print(*digests, hmac.new(b"key", b"text", "sha256").hexdigest())
"""
    blocked = """
from bilberryring.process.library_imports import needed_modules_only
with needed_modules_only():
    import hashlib, hmac
"""
    assert run(blocked + code) == run(code)


def test_what_was_left_out_can_be_imported_after_the_block():
    """Guards against an entry of `None` that stays in the table of modules."""
    code = """
from bilberryring.process.library_imports import needed_modules_only
with needed_modules_only():
    import asyncio, hashlib, http.client
import ssl, _hashlib
print(ssl.create_default_context().verify_mode.name, _hashlib.new("md5").name)
"""
    assert run(code) == ["CERT_REQUIRED", "md5"]


@pytest.mark.parametrize(
    ("name", "attribute"),
    [
        ("twisted.web.util", "formatFailure"),
        ("urllib.request", "urlopen"),
    ],
)
def test_a_deferred_module_is_loaded_when_an_attribute_is_read(name, attribute):
    """Guards against a module that stays empty."""
    assert name in DEFERRED_MODULES
    code = f"""
import sys, types
from bilberryring.process.library_imports import needed_modules_only
with needed_modules_only():
    import {name}
module = sys.modules["{name}"]
print(type(module) is types.ModuleType)
print(module.{attribute}.__name__, type(module) is types.ModuleType)
"""
    assert run(code) == ["False", attribute, "True"]


def test_modules_that_were_imported_before_the_block_stay():
    """Guards against removing a module that others hold already."""
    import ssl

    before = list(sys.meta_path)
    with needed_modules_only():
        assert sys.modules["ssl"] is ssl
    assert sys.modules["ssl"] is ssl
    assert sys.meta_path == before


def test_a_block_that_fails_restores_the_imports():
    """Guards against an importer that goes on deferring after a failed start."""
    code = """
import sys
from bilberryring.process.library_imports import needed_modules_only
before = list(sys.meta_path)
try:
    with needed_modules_only():
        raise ImportError
except ImportError:
    print(sys.meta_path == before, "ssl" in sys.modules)
"""
    assert run(code) == ["True", "False"]
