"""Calls of the stand-ins' control listeners, the platform's above all."""

import json
import urllib.request

from bilberryring.adapters import PART_PREFIX, set_key
from bilberryring.objects import CanonicalSet, Manifest, encode_manifest

CALL_SECONDS = 5.0


def call(method: str, address: str, path: str, body: bytes = b"") -> bytes:
    """Make one HTTP call and return the body of its answer."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body or None, method=method
    )
    with urllib.request.urlopen(request, timeout=CALL_SECONDS) as response:
        return response.read()


class PlatformControl:
    """Writes to the platform, as operators do, and makes it misbehave."""

    def __init__(self, *, address: str):
        self._address = address

    def write_set(self, canonical: CanonicalSet) -> None:
        """Write a set's parts and then its manifest, as operators do."""
        for digest, content in canonical.parts.items():
            self.write_value(PART_PREFIX + digest, content)
        self.write_manifest(canonical.manifest)

    def write_manifest(self, manifest: Manifest) -> None:
        """Write a manifest under its key."""
        key = set_key(manifest.number, manifest.digest)
        self.write_value(key, encode_manifest(manifest))

    def write_value(self, key: str, content: bytes) -> None:
        """Write a value."""
        call("POST", self._address, f"/control/values/{key}", content)

    def set_vms(self, vms: list[dict]) -> None:
        """Write the VM list."""
        call("POST", self._address, "/control/vms", json.dumps(vms).encode())

    def set_mode(self, **mode) -> None:
        """Make the platform down, slow or stale; without arguments, well."""
        call("POST", self._address, "/control/mode", json.dumps(mode).encode())

    def revision(self) -> int:
        """Return the newest revision."""
        return json.loads(call("GET", self._address, "/control/revision"))["revision"]

    def counts(self) -> dict:
        """Return the calls that the platform counted."""
        return json.loads(call("GET", self._address, "/control/counts"))
