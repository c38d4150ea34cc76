"""Replicas that apply changes and each other's full copies in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bilberryring.fleet import PublishedItem, Replica

KEYS = st.sampled_from(["a", "b", "c"])
READERS = st.integers(min_value=0, max_value=2)


class ReplicasMachine(RuleBasedStateMachine):
    """A store with its history, and three readers that fall behind."""

    def __init__(self):
        super().__init__()
        self.history: list[PublishedItem] = []
        self.readers = [Replica() for _ in range(3)]
        self.read_to = [0, 0, 0]
        self.level = [0, 0, 0]
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
        self.readers[reader].apply(self.history[self.read_to[reader] :])
        self.read_to[reader] = self.level[reader] = len(self.history)

    @rule(reader=READERS)
    def list_anew(self, reader):
        revision = len(self.history)
        latest = {item.key: item for item in self.history}
        items = [item for item in latest.values() if item.value is not None]
        self.readers[reader].replace(items, revision=revision)
        self.read_to[reader] = self.level[reader] = revision

    @rule(reader=READERS, peer=READERS)
    def copy_from_peer(self, reader, peer):
        mine, theirs = self.readers[reader], self.readers[peer]
        if theirs.revision > mine.revision:
            mine.take_copy(theirs.items, revision=theirs.revision)
            assert mine.revision == theirs.revision
            self.level[reader] = max(self.level[reader], self.level[peer])

    @invariant()
    def each_reader_holds_one_state_of_the_store(self):
        """A list can be later than its items tell: its last change, a removal."""
        for reader, level in zip(self.readers, self.level, strict=True):
            held = {item.key: item.value for item in reader.items}
            assert held == self.state_at(level)
            assert reader.revision <= level

    @invariant()
    def no_reader_goes_back(self):
        for number, reader in enumerate(self.readers):
            assert reader.revision >= self.seen[number]
            self.seen[number] = reader.revision


class ReplicasWithDeltasMachine(ReplicasMachine):
    """The same, but a reader that is behind takes only the changes if it can."""

    @rule(reader=READERS, peer=READERS)
    def copy_changes_from_peer(self, reader, peer):
        mine, theirs = self.readers[reader], self.readers[peer]
        if theirs.revision <= mine.revision:
            return
        changes = theirs.changes_since(mine.revision)
        if changes is None:
            mine.take_copy(theirs.items, revision=theirs.revision)
        else:
            mine.take_changes(changes, revision=theirs.revision)
        assert mine.revision == theirs.revision
        self.level[reader] = max(self.level[reader], self.level[peer])


TestReplicas = ReplicasMachine.TestCase
TestReplicasWithDeltas = ReplicasWithDeltasMachine.TestCase
TestReplicasWithDeltas.settings = settings(
    max_examples=300, deadline=None, derandomize=True
)
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
