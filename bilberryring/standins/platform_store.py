"""The platform's read-and-watch service and VM list, as pure state.

Writes are the operators' own; the system only reads. Each value carries the
revision that created its key and the one that last modified it. The store can
be made stale: readers then see what it held at an earlier revision.
"""

from dataclasses import dataclass

from bilberryring.adapters.platform_protocol import (
    ListedVm,
    WatchAnswer,
    WatchItem,
)

MAX_VALUE_BYTES = 1_000_000
CALLS_PER_SECOND = 2_000
WATCH_ITEMS = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """One value with its revisions."""

    content: bytes
    created: int
    modified: int


class PlatformStore:
    """Keys with every write kept, so that an earlier revision can be shown."""

    def __init__(self):
        self._writes: dict[str, list[StoredValue]] = {}
        self._revision = 0
        self._frozen_at: int | None = None
        self._lists: list[tuple[float, tuple[ListedVm, ...]]] = [(0.0, ())]

    @property
    def revision(self) -> int:
        """The revision that readers see."""
        return self._revision if self._frozen_at is None else self._frozen_at

    def put(self, key: str, content: bytes) -> int:
        """Write a value and return its revision."""
        if len(content) > MAX_VALUE_BYTES:
            raise ValueError(f"a value holds at most {MAX_VALUE_BYTES} bytes")
        self._revision += 1
        writes = self._writes.setdefault(key, [])
        created = writes[0].created if writes else self._revision
        writes.append(
            StoredValue(content=content, created=created, modified=self._revision)
        )
        return self._revision

    def freeze(self, revision: int | None) -> None:
        """Show readers the state at a revision from now on; `None` ends it."""
        self._frozen_at = revision

    def get(self, key: str, *, at: int | None = None) -> StoredValue | None:
        """Return the value that readers see."""
        limit = self.revision if at is None else at
        visible = [
            value for value in self._writes.get(key, []) if value.modified <= limit
        ]
        return visible[-1] if visible else None

    def changes(self, *, prefix: str, after: int, at: int | None = None) -> WatchAnswer:
        """Return the keys with a prefix that changed after a revision."""
        limit = self.revision if at is None else at
        items = []
        for key in self._writes:
            value = self.get(key, at=limit) if key.startswith(prefix) else None
            if value is not None and value.modified > after:
                items.append(
                    WatchItem(key=key, created=value.created, modified=value.modified)
                )
        items.sort(key=lambda item: item.modified)
        return WatchAnswer(revision=limit, items=tuple(items[-WATCH_ITEMS:]))

    def set_vms(self, vms: tuple[ListedVm, ...], *, now: float) -> None:
        """Write the VM list; readers see it after the lag."""
        self._lists.append((now, vms))

    def vms(self, *, now: float, lag: float) -> tuple[ListedVm, ...]:
        """Return the VM list as it was `lag` seconds ago, at least the first."""
        visible = [vms for at, vms in self._lists if at <= now - lag]
        if len(visible) > 1:
            return visible[-1]
        return self._lists[min(1, len(self._lists) - 1)][1]


class CallLimiter:
    """Counts calls and refuses those above the rate of one second."""

    def __init__(self, *, calls_per_second: int = CALLS_PER_SECOND):
        self._limit = calls_per_second
        self._second = 0
        self._in_second = 0
        self._total = 0
        self._refused = 0
        self._peak = 0

    @property
    def total(self) -> int:
        """All calls so far."""
        return self._total

    @property
    def refused(self) -> int:
        """The calls above the rate."""
        return self._refused

    @property
    def peak(self) -> int:
        """The most calls in one second."""
        return self._peak

    def admit(self, now: float) -> bool:
        """Count one call at `now` and tell whether it is within the rate."""
        if int(now) != self._second:
            self._second = int(now)
            self._in_second = 0
        self._in_second += 1
        self._total += 1
        self._peak = max(self._peak, self._in_second)
        if self._in_second > self._limit:
            self._refused += 1
            return False
        return True
