"""The state of the simulated platform: its key-value store and VM list.

Only operators write; bilberryring only reads. Each value carries the revision that
created its key and the one that last modified it. The store can be made stale, so
that readers see its content at an earlier revision, and it can come back from an older
copy, which begins a new era of revisions.
"""

from dataclasses import dataclass

from bilberryring.adapters.platform_protocol import (
    ListedVm,
    WatchItem,
    WatchResponse,
)

MAX_VALUE_BYTES = 1_000_000
CALLS_PER_SECOND = 2_000
MAX_WATCH_ITEMS = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """A value with the revisions that created and last modified its key."""

    content: bytes
    created: int
    modified: int


class PlatformStore:
    """A key-value store that keeps every write, to show readers earlier revisions.

    >>> store = PlatformStore()
    >>> copy = store.put("a", b"1")
    >>> store.put("a", b"2"), store.put("b", b"3")
    (2, 3)
    >>> store.restore(copy)
    >>> store.era, store.revision, store.get("a").content, store.get("b")
    (2, 1, b'1', None)
    """

    def __init__(self):
        self._writes: dict[str, list[StoredValue]] = {}
        self._revision = 0
        self._era = 1
        self._visible_revision: int | None = None
        self._vm_lists: list[tuple[float, tuple[ListedVm, ...]]] = [(0.0, ())]

    @property
    def revision(self) -> int:
        """The revision that readers see."""
        return (
            self._revision if self._visible_revision is None else self._visible_revision
        )

    @property
    def era(self) -> int:
        """A number that rises each time the store is restored from a copy."""
        return self._era

    def restore(self, revision: int) -> None:
        """Return to the state at a revision: later writes are lost.

        Their revisions are used again, in a new era.
        """
        kept = {
            key: [value for value in writes if value.modified <= revision]
            for key, writes in self._writes.items()
        }
        self._writes = {key: writes for key, writes in kept.items() if writes}
        self._revision = revision
        self._era += 1

    def put(self, key: str, content: bytes) -> int:
        """Write a value and return the revision of this write."""
        if len(content) > MAX_VALUE_BYTES:
            raise ValueError(
                f"a value has at most {MAX_VALUE_BYTES} bytes, not {len(content)}"
            )
        self._revision += 1
        writes = self._writes.setdefault(key, [])
        created = writes[0].created if writes else self._revision
        writes.append(
            StoredValue(content=content, created=created, modified=self._revision)
        )
        return self._revision

    def freeze(self, revision: int | None) -> None:
        """Show readers the state at a revision, or with `None` the latest one again."""
        self._visible_revision = revision

    def get(self, key: str, *, at: int | None = None) -> StoredValue | None:
        """Return the value of a key, or `None` when it did not exist.

        It is the value at the revision `at`, or without one at the revision that
        readers see.
        """
        visible_revision = self.revision if at is None else at
        visible = [
            value
            for value in self._writes.get(key, [])
            if value.modified <= visible_revision
        ]
        return visible[-1] if visible else None

    def changes(
        self, *, prefix: str, after: int, at: int | None = None
    ) -> WatchResponse:
        """Return the keys with a prefix that changed after a revision, by revision.

        When there are more than `MAX_WATCH_ITEMS`, the earliest ones are left out.
        """
        visible_revision = self.revision if at is None else at
        items = []
        for key in self._writes:
            value = (
                self.get(key, at=visible_revision) if key.startswith(prefix) else None
            )
            if value is not None and value.modified > after:
                items.append(
                    WatchItem(key=key, created=value.created, modified=value.modified)
                )
        items.sort(key=lambda item: item.modified)
        return WatchResponse(
            revision=visible_revision, items=tuple(items[-MAX_WATCH_ITEMS:])
        )

    def set_vms(self, vms: tuple[ListedVm, ...], *, now: float) -> None:
        """Replace the VM list at the time `now`; readers see it after a lag."""
        self._vm_lists.append((now, vms))

    def vms(self, *, now: float, lag: float) -> tuple[ListedVm, ...]:
        """Return the VM list as it was `lag` seconds before `now`.

        The first list that was written is visible without a lag.
        """
        visible = [vms for at, vms in self._vm_lists if at <= now - lag]
        if len(visible) > 1:
            return visible[-1]
        return self._vm_lists[min(1, len(self._vm_lists) - 1)][1]


class CallLimiter:
    """A rate limiter that counts calls in each whole second of the clock."""

    def __init__(self, *, calls_per_second: int = CALLS_PER_SECOND):
        self._calls_per_second = calls_per_second
        self._current_second = 0
        self._calls_in_second = 0
        self._total = 0
        self._refused = 0
        self._peak = 0

    @property
    def total(self) -> int:
        """The number of all calls."""
        return self._total

    @property
    def refused(self) -> int:
        """The number of calls above the rate limit."""
        return self._refused

    @property
    def peak(self) -> int:
        """The highest number of calls in one second, including refused ones."""
        return self._peak

    def admit(self, now: float) -> bool:
        """Count one call at the time `now`; return whether it is within the limit."""
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._calls_in_second = 0
        self._calls_in_second += 1
        self._total += 1
        self._peak = max(self._peak, self._calls_in_second)
        if self._calls_in_second > self._calls_per_second:
            self._refused += 1
            return False
        return True
