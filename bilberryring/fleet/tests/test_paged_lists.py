"""Replicas whose lists come in pages while the store goes on changing.

A list is complete up to the revision of its first page only, and its later pages show
some of the changes after that. What a replica tells its peers must not depend on them.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from bilberryring.fleet import PublishedItem, Replica

KEYS = ("a", "b", "c")
PAGE_ITEMS = 1
REPLICAS = 3
SETTLE_ROUNDS = 2 * REPLICAS
NUMBERS = st.integers(min_value=0, max_value=REPLICAS - 1)


class History:
    """The changes of a store, of which the first has the revision 1."""

    def __init__(self):
        self.changes: list[PublishedItem] = []

    @property
    def revision(self) -> int:
        return len(self.changes)

    @property
    def items(self) -> dict[str, PublishedItem]:
        return {key: item for key, item in self.last_writes().items() if item.value}

    def last_writes(self, *, until: int | None = None) -> dict[str, PublishedItem]:
        return {item.key: item for item in self.changes[:until]}

    def write(self, key: str, value: bytes | None) -> None:
        self.changes.append(
            PublishedItem(key=key, revision=self.revision + 1, value=value)
        )


class Reader:
    """One process: its replica, the revision of its watch, and a list it has begun."""

    def __init__(self):
        self.replica = Replica()
        self.watched_to: int | None = None
        self.pages: list[PublishedItem] | None = None
        self.listed_at = 0

    def read_page(self, store: History) -> None:
        """Read the next page of a list; apply the list after its last page."""
        if self.pages is None:
            self.pages, self.listed_at = [], store.revision
        last = self.pages[-1].key if self.pages else ""
        left = [store.items[key] for key in sorted(store.items) if key > last]
        self.pages += left[:PAGE_ITEMS]
        if len(left) <= PAGE_ITEMS:
            self.replica.replace(self.pages, revision=self.listed_at)
            self.watched_to, self.pages = self.listed_at, None

    def watch(self, store: History) -> None:
        """Apply what changed since the list or the last watch."""
        self.replica.apply(store.changes[self.watched_to :])
        self.watched_to = store.revision

    def skip_copied_changes(self) -> None:
        """Become a reader again: the copied changes are not asked for."""
        self.watched_to = max(self.watched_to, self.replica.position.latest.number)

    def copy_from(self, peer: "Reader") -> None:
        """Take what a peer has beyond the own position, or all of it."""
        theirs, latest = peer.replica, peer.replica.position.latest.number
        own = self.replica.position
        wants_all = theirs.position.is_level_with(own)
        changes = theirs.changes_since(0 if wants_all else own.latest.number)
        if changes is None:
            self.replica.take_copy(theirs.items, revision=latest)
        else:
            self.replica.take_changes(changes, revision=latest)


class PagedListsMachine(RuleBasedStateMachine):
    """A store, and processes that list it in pages, watch it and copy in turn."""

    def __init__(self):
        super().__init__()
        self.store = History()
        self.readers = [Reader() for _ in range(REPLICAS)]

    @rule(key=st.sampled_from(KEYS), value=st.one_of(st.none(), st.just(b"1")))
    def write(self, key, value):
        if value is not None or key in self.store.items:
            self.store.write(key, value)

    @rule(number=NUMBERS)
    def read_page(self, number):
        self.readers[number].read_page(self.store)

    @rule(number=NUMBERS)
    def watch(self, number):
        reader = self.readers[number]
        if reader.watched_to is not None and reader.pages is None:
            reader.watch(self.store)

    @rule(number=NUMBERS)
    def begin_to_read(self, number):
        if self.readers[number].watched_to is not None:
            self.readers[number].skip_copied_changes()

    @rule(number=NUMBERS, peer=NUMBERS)
    def copy(self, number, peer):
        mine, theirs = self.readers[number], self.readers[peer]
        if theirs.replica.position.is_ahead_of(mine.replica.position):
            mine.copy_from(theirs)

    @precondition(lambda self: len(self.store.changes) > 2)
    @rule(number=NUMBERS)
    def restart(self, number):
        self.readers[number] = Reader()

    @invariant()
    def nothing_up_to_a_position_is_missing(self):
        for reader in self.readers:
            position = reader.replica.position.latest.number
            held = {item.key: item for item in reader.replica.items}
            for key, write in self.store.last_writes(until=position).items():
                known = held.get(key)
                if known is None:
                    is_known = write.value is None or self.is_removed_after(
                        key, position
                    )
                else:
                    is_known = known == write or known.revision > position
                assert is_known, (key, position)

    def is_removed_after(self, key, revision):
        return any(
            item.key == key and item.value is None
            for item in self.store.changes[revision:]
        )

    def teardown(self):
        """Once the store is quiet, one reader is enough for all to agree with it."""
        first = self.readers[0]
        if first.watched_to is None or first.pages is not None:
            first.read_page(self.store)
            while first.pages is not None:
                first.read_page(self.store)
        first.watch(self.store)
        for _ in range(SETTLE_ROUNDS):
            for mine in self.readers:
                for theirs in self.readers:
                    if theirs.replica.position.is_ahead_of(mine.replica.position):
                        mine.copy_from(theirs)
        for reader in self.readers:
            held = {item.key: item for item in reader.replica.items}
            assert held == self.store.items


TestPagedLists = PagedListsMachine.TestCase
TestPagedLists.settings = settings(max_examples=400, deadline=None, derandomize=True)


def test_a_removal_that_only_a_later_list_shows_reaches_a_replica_at_that_position():
    """All readers start anew just after a removal, before anyone copied it.

    A list shows no removals, so that their position is that of a replica which still
    has the item.
    """
    store, replica, reader = History(), Reader(), Reader()
    store.write("a", b"1")
    store.write("b", b"1")
    while replica.watched_to is None:
        replica.read_page(store)
    store.write("a", None)
    while reader.watched_to is None:
        reader.read_page(store)
    if reader.replica.position.is_ahead_of(replica.replica.position):
        replica.copy_from(reader)
    assert {item.key for item in replica.replica.items} == {"b"}
