"""The tool's only command that writes: it renders a set into files."""

from pathlib import Path

from bilberryring.adapters import PART_PREFIX, set_key
from bilberryring.objects import (
    CanonicalSet,
    Manifest,
    ObjectSet,
    SetNumber,
    encode_manifest,
    render_set,
)
from bilberryring.tool.queries import MANIFEST_FILE, PARTS_DIRECTORY

KEYS_FILE = "keys.txt"


def render_into(
    directory: Path,
    objects: ObjectSet,
    *,
    predecessor: Manifest | None,
    number: SetNumber | None,
) -> CanonicalSet:
    """Write a set's manifest, its parts, and the list of keys to publish.

    Each line of `keys.txt` holds a key and the file with its value, in the order in
    which operators must publish them. The manifest is last, so that no process reads
    a manifest whose parts are not published yet.
    """
    canonical = render_set(objects, predecessor=predecessor, number=number)
    parts_directory = directory / PARTS_DIRECTORY
    parts_directory.mkdir(parents=True, exist_ok=True)
    lines = []
    for digest, content in canonical.parts.items():
        (parts_directory / digest).write_bytes(content)
        lines.append(f"{PART_PREFIX}{digest} {PARTS_DIRECTORY}/{digest}")
    manifest = canonical.manifest
    (directory / MANIFEST_FILE).write_bytes(encode_manifest(manifest))
    lines.append(f"{set_key(manifest.number, manifest.digest)} {MANIFEST_FILE}")
    (directory / KEYS_FILE).write_text("\n".join(lines) + "\n", "utf-8")
    return canonical
