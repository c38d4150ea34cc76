"""HTTP calls of the stand-ins' control paths, with a client for the platform."""

import json
import urllib.request

from bilberryring.adapters import PART_PREFIX, set_key
from bilberryring.objects import CanonicalSet, Manifest, encode_manifest

CALL_TIMEOUT_SECONDS = 5.0


def send_request(method: str, address: str, path: str, body: bytes = b"") -> bytes:
    """Send one HTTP request and return the body of the answer."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body or None, method=method
    )
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_SECONDS) as response:
        return response.read()


class PlatformControl:
    """Writes to the platform stand-in, as operators do, and injects faults into it."""

    def __init__(self, *, address: str):
        self._address = address

    def write_set(self, canonical: CanonicalSet) -> None:
        """Write the parts of a set and then its manifest.

        Operators use this order so that a manifest never names a missing part.
        """
        for digest, content in canonical.parts.items():
            self.write_value(PART_PREFIX + digest, content)
        self.write_manifest(canonical.manifest)

    def write_manifest(self, manifest: Manifest) -> None:
        """Write a manifest under the key of its number and digest."""
        key = set_key(manifest.number, manifest.digest)
        self.write_value(key, encode_manifest(manifest))

    def write_value(self, key: str, content: bytes) -> None:
        """Write the content of one key."""
        send_request("POST", self._address, f"/control/values/{key}", content)

    def set_vms(self, vms: list[dict]) -> None:
        """Replace the VM list."""
        send_request("POST", self._address, "/control/vms", json.dumps(vms).encode())

    def set_mode(self, **mode) -> None:
        """Make the platform unavailable, slow or stale.

        The keywords are the fields of the stand-in's `PlatformMode`; those that are
        left out are reset, so a call without keywords ends all faults.
        """
        send_request("POST", self._address, "/control/mode", json.dumps(mode).encode())

    def revision(self) -> int:
        """Return the revision of the last write."""
        return json.loads(send_request("GET", self._address, "/control/revision"))[
            "revision"
        ]

    def save(self) -> None:
        """Make the copy to which `restore` returns."""
        send_request("POST", self._address, "/control/save")

    def restore(self) -> None:
        """Return to the copy: later writes are lost, and their revisions used again."""
        send_request("POST", self._address, "/control/restore")

    def counts(self) -> dict:
        """Return the platform's counts of read calls; see `CallCounts`."""
        return json.loads(send_request("GET", self._address, "/control/counts"))
