"""What a gateway does not hold in memory."""

import subprocess
import sys
from pathlib import Path

from bilberryring.process.library_imports import DEFERRED_MODULES
from bilberryring.standins.scripted_endpoint import answer_all

NOT_LOADED = {
    "_hashlib",
    "_ssl",
    "bilberryring.acceptance",
    "bilberryring.objects",
    "click",
    "hyperlink",
    "idna",
    "pyjson5",
    "ssl",
    "xml.sax",
}
"""Modules that a gateway never uses; some come with one of `DEFERRED_MODULES`."""
LIBRARY_FILES = ("libssl", "libcrypto", "_hashlib", "pyexpat", "pyjson5")

LIST_MODULES = """
import sys, types
from bilberryring.platform.process import import_gateway
import_gateway()
print(*(name for name, module in sys.modules.items()
    if type(module) is types.ModuleType))
"""


def imported_modules() -> set[str]:
    completed = subprocess.run(
        [sys.executable, "-c", LIST_MODULES], capture_output=True, text=True, check=True
    )
    assert not completed.stderr
    return set(completed.stdout.split())


def test_a_gateway_imports_nothing_that_it_does_not_need():
    """Guards against an import that brings a large library back."""
    modules = imported_modules()
    assert "bilberryring.gateway.daemon" in modules
    assert not modules & (NOT_LOADED | set(DEFERRED_MODULES))


def test_a_gateway_that_serves_does_not_load_what_was_left_out(site):
    """Guards against a deferred module that the first request or query loads."""
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    assert site.call("/look/").status == 200
    assert site.call("/nowhere/").status == 404
    assert "first_answer_seconds" in site.metrics()
    maps = Path(f"/proc/{site.process('gateway-1').process_id}/maps").read_text("utf-8")
    assert not [name for name in LIBRARY_FILES if name in maps]
