"""Replicas that apply changes and each other's full copies in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bilberryring.fleet import PublishedItem, Replica

KEYS = st.sampled_from(["a", "b", "c"])
READERS = st.integers(min_value=0, max_value=2)


class ReplicasMachine(RuleBasedStateMachine):
    """A store with its history, and three readers that may fall behind it."""

    def __init__(self):
        super().__init__()
        self.history: list[PublishedItem] = []
        self.readers = [Replica() for _ in range(3)]
        self.watched_to = [0, 0, 0]
        self.complete_to = [0, 0, 0]
        self.seen = [0, 0, 0]

    def state_at(self, revision):
        state: dict[str, bytes] = {}
        for item in self.history[:revision]:
            if item.value is None:
                state.pop(item.key, None)
            else:
                state[item.key] = item.value
        return state

    @rule(key=KEYS, value=st.one_of(st.none(), st.binary(max_size=2)))
    def write(self, key, value):
        revision = len(self.history) + 1
        self.history.append(PublishedItem(key=key, revision=revision, value=value))

    @rule(reader=READERS)
    def watch(self, reader):
        self.readers[reader].apply(self.history[self.watched_to[reader] :])
        self.watched_to[reader] = self.complete_to[reader] = len(self.history)

    @rule(reader=READERS)
    def list_again(self, reader):
        revision = len(self.history)
        latest = {item.key: item for item in self.history}
        items = [item for item in latest.values() if item.value is not None]
        self.readers[reader].replace(items, revision=revision)
        self.watched_to[reader] = self.complete_to[reader] = revision

    @rule(reader=READERS, peer=READERS)
    def copy_from_peer(self, reader, peer):
        mine, theirs = self.readers[reader], self.readers[peer]
        if theirs.revision > mine.revision:
            mine.take_copy(theirs.items, revision=theirs.revision)
            assert mine.revision == theirs.revision
            self.complete_to[reader] = max(
                self.complete_to[reader], self.complete_to[peer]
            )

    @invariant()
    def each_reader_holds_a_past_state_of_the_store(self):
        """A reader may be ahead of its revision.

        A list shows no removals, so when the last change was one, the items' revisions
        stay below that of the list.
        """
        for reader, complete_to in zip(self.readers, self.complete_to, strict=True):
            held = {item.key: item.value for item in reader.items}
            assert held == self.state_at(complete_to)
            assert reader.revision <= complete_to

    @invariant()
    def no_revision_decreases(self):
        for number, reader in enumerate(self.readers):
            assert reader.revision >= self.seen[number]
            self.seen[number] = reader.revision


TestReplicas = ReplicasMachine.TestCase
TestReplicas.settings = settings(max_examples=300, deadline=None, derandomize=True)


def test_a_copy_whose_last_change_was_a_removal_updates_the_revision():
    """A removal leaves no item, so the copied items alone do not show its revision.

    A replica that stayed behind would ask its peer for a copy again and again.
    """
    kept = PublishedItem(key="a", revision=30, value=b"1")
    removed = PublishedItem(key="b", revision=32, value=None)
    peer, new = Replica(), Replica()
    peer.apply((kept, removed))
    new.replace(peer.items, revision=33)
    new.take_copy(peer.items, revision=peer.revision)
    assert new.revision == peer.revision == 32


def test_a_copy_older_than_a_list_restores_no_removed_items():
    """A list shows no removals, so an older copy could restore a removed item."""
    peer, new = Replica(), Replica()
    peer.apply((PublishedItem(key="a", revision=1, value=b"1"),))
    new.replace((), revision=2)
    new.take_copy(peer.items, revision=peer.revision)
    assert new.items == ()
