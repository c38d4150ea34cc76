"""Replicas of a store that comes back from older copies of itself."""

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bilberryring.fleet import NO_LIMIT, PublishedItem, Replica
from bilberryring.standins.operator_store import OperatorStore

CONFIGURATION = "config"
EVACUATIONS = ("evacuate/a", "evacuate/b")
READERS = st.integers(min_value=0, max_value=3)
HOLD_SECONDS = 1_000.0


class Rules:
    """Configurations are numbers; evacuations hold while they are missing."""

    def supersedes(self, key, stored, lost):
        return key != CONFIGURATION or int(stored) >= int(lost)

    def is_same(self, key, stored, removed):
        return False

    def keeps_missing(self, key):
        return True

    def hold_seconds(self, key):
        return HOLD_SECONDS


@dataclass
class Reader:
    """A replica, and up to where it has read the store in which era."""

    replica: Replica
    era: int = 0
    revision: int = 0
    version: int = 0


class RestoredStoreMachine(RuleBasedStateMachine):
    """Readers list, watch and copy from each other while the store returns.

    The operator writes again what was lost, as far as it likes.
    """

    def __init__(self):
        super().__init__()
        self.store = OperatorStore()
        self.store.put(CONFIGURATION, b"0")
        self.copies = [self.store.save()]
        self.version = 0
        self.readers = [Reader(Replica(rules=Rules())) for _ in range(4)]

    def listing(self):
        return tuple(
            PublishedItem(key=item.key, revision=item.revision, value=item.value)
            for item in self.store.items("")
        )

    def changes(self, reader):
        if reader.era != self.store.era:
            return None
        return self.store.changes("", after=reader.revision)

    @rule()
    def publish(self):
        self.version += 1
        self.store.put(CONFIGURATION, b"%d" % self.version)

    @rule(key=st.sampled_from(EVACUATIONS))
    def evacuate(self, key):
        self.store.put(key, b"{}")

    @rule(key=st.sampled_from(EVACUATIONS))
    def take_back(self, key):
        self.store.remove(key)

    @rule()
    def save(self):
        self.copies = [*self.copies, self.store.save()][-3:]

    @rule(back=st.integers(min_value=1, max_value=3))
    def restore(self, back):
        copy = self.copies[-min(back, len(self.copies))]
        self.store.restore(copy)
        self.copies = [
            item for item in self.copies if item.revision <= copy.revision
        ] or [copy]

    @rule()
    def drop_history(self):
        self.store.drop_history()

    @rule(number=READERS)
    def read(self, number):
        reader = self.readers[number]
        changes = self.changes(reader)
        if changes is not None:
            reader.replica.apply(
                PublishedItem(key=item.key, revision=item.revision, value=item.value)
                for item in changes
            )
        elif self.store.era > reader.replica.era:
            reader.replica.begin_era(
                self.listing(),
                revision=self.store.revision,
                era=self.store.era,
                now=0.0,
            )
        elif self.store.era == reader.replica.era:
            reader.replica.replace(self.listing(), revision=self.store.revision)
        reader.era, reader.revision = self.store.era, self.store.revision

    @rule(number=READERS, peer=READERS)
    def copy(self, number, peer):
        mine, theirs = self.readers[number].replica, self.readers[peer].replica
        if not theirs.position.is_ahead_of(mine.position):
            return
        if theirs.era > mine.era:
            mine.begin_era(
                theirs.items,
                revision=theirs.revision,
                era=theirs.era,
                now=0.0,
                latest=theirs.revision,
            )
        else:
            mine.take_copy(theirs.items, revision=theirs.revision)
        mine.add_lost_writes(
            theirs.lost_writes(now=0.0),
            latest_lost=theirs.position.latest_lost,
            now=0.0,
        )
        assert not theirs.position.is_ahead_of(mine.position)

    @precondition(lambda self: self.version)
    @rule(number=READERS)
    def restart(self, number):
        self.readers[number] = Reader(Replica(rules=Rules()))

    @rule(key=st.sampled_from(EVACUATIONS), number=READERS)
    def a_new_write_is_in_force_once_it_is_read(self, key, number):
        """Whatever was lost, the operator's next word counts."""
        self.read(number)
        self.store.put(key, b"{}")
        self.read(number)
        assert self.readers[number].replica.value(key) == b"{}"
        self.store.remove(key)
        self.read(number)
        assert self.readers[number].replica.value(key) is None

    @rule(number=READERS)
    def a_new_version_is_in_force_once_it_is_read(self, number):
        self.publish()
        self.read(number)
        value = self.readers[number].replica.value(CONFIGURATION)
        assert int(value) == self.version

    @invariant()
    def no_configuration_goes_back(self):
        for reader in self.readers:
            value = reader.replica.value(CONFIGURATION)
            version = 0 if value is None else int(value)
            assert version >= reader.version
            reader.version = version


TestRestoredStore = RestoredStoreMachine.TestCase
TestRestoredStore.settings = settings(
    max_examples=300, deadline=None, derandomize=True, stateful_step_count=40
)


def make_replica(*items, era=1):
    replica = Replica(rules=Rules())
    replica.begin_era(
        [PublishedItem(key=key, revision=at, value=value) for key, at, value in items],
        revision=max(at for _, at, _ in items),
        era=era,
        now=0.0,
    )
    return replica


def test_a_lost_evacuation_holds_until_its_time_is_over():
    replica = make_replica(("config", 1, b"1"), ("evacuate/a", 9, b"{}"))
    config = PublishedItem(key="config", revision=1, value=b"1")
    assert replica.begin_era([config], revision=1, era=2, now=5.0) == ()
    assert replica.expire_lost_writes(now=5.0 + HOLD_SECONDS / 2) == ()
    assert replica.value("evacuate/a") == b"{}"
    expired = replica.expire_lost_writes(now=5.0 + HOLD_SECONDS)
    assert expired == ("evacuate/a",)
    assert replica.value("evacuate/a") is None


def test_a_lost_write_that_is_passed_on_ends_no_later():
    replica = make_replica(("config", 1, b"1"), ("evacuate/a", 9, b"{}"))
    config = PublishedItem(key="config", revision=1, value=b"1")
    replica.begin_era([config], revision=1, era=2, now=0.0)
    late = make_replica(("config", 1, b"1"), era=2)
    late.add_lost_writes(
        replica.lost_writes(now=HOLD_SECONDS - 1.0),
        latest_lost=replica.position.latest_lost,
        now=HOLD_SECONDS - 1.0,
    )
    assert late.value("evacuate/a") == b"{}"
    late.expire_lost_writes(now=HOLD_SECONDS + 0.1)
    assert late.value("evacuate/a") is None


def test_a_removal_that_the_store_lost_holds_against_the_same_item():
    replica = make_replica(("config", 1, b"1"), ("evacuate/a", 2, b"{}"))
    replica.apply([PublishedItem(key="evacuate/a", revision=9, value=None)])
    copied = [
        PublishedItem(key="config", revision=1, value=b"1"),
        PublishedItem(key="evacuate/a", revision=2, value=b"{}"),
    ]
    replica.begin_era(copied, revision=2, era=2, now=0.0)
    assert replica.value("evacuate/a") is None
    replica.apply([PublishedItem(key="evacuate/a", revision=3, value=b"{}")])
    assert replica.value("evacuate/a") == b"{}"


def test_lost_writes_are_bounded(monkeypatch):
    monkeypatch.setattr("bilberryring.fleet.lost_writes.MAX_LOST_WRITES", 3)
    items = [(f"evacuate/{number}", number, b"{}") for number in range(1, 9)]
    replica = make_replica(*items)
    replica.begin_era([], revision=0, era=2, now=0.0)
    assert len(replica.lost_writes(now=0.0)) == 3


def begin_era_without(replica):
    replica.begin_era(
        [PublishedItem(key="config", revision=1, value=b"1")],
        revision=1,
        era=replica.era + 1,
        now=0.0,
    )
    return replica


def test_a_hold_ends_with_that_of_a_peer_whose_copy_cannot_show_why():
    items = (("config", 1, b"1"), ("evacuate/a", 2, b"{}"))
    behind = begin_era_without(make_replica(*items))
    ahead = begin_era_without(make_replica(*items))
    ahead.apply([PublishedItem(key="evacuate/a", revision=2, value=b"{}")])
    ahead.apply([PublishedItem(key="evacuate/a", revision=3, value=None)])
    behind.take_copy(ahead.items, revision=ahead.revision)
    changed = behind.add_lost_writes(
        ahead.lost_writes(now=0.0), latest_lost=ahead.position.latest_lost, now=0.0
    )
    assert changed == ("evacuate/a",)
    assert behind.value("evacuate/a") is None


class RulesWithoutLimit(Rules):
    def hold_seconds(self, key):
        return NO_LIMIT


def test_a_hold_without_a_time_limit_outlives_that_of_a_peer():
    """Without this a version of the configuration could go back."""
    replica = Replica(rules=RulesWithoutLimit())
    replica.begin_era(
        [PublishedItem(key="config", revision=2, value=b"2")],
        revision=2,
        era=1,
        now=0.0,
    )
    begin_era_without(replica)
    replica.add_lost_writes((), latest_lost=replica.position.latest_lost, now=0.0)
    assert replica.value("config") == b"2"


def test_a_hold_stays_beside_a_peer_that_never_knew_the_write():
    replica = begin_era_without(
        make_replica(("config", 1, b"1"), ("evacuate/a", 2, b"{}"))
    )
    knew_less = begin_era_without(make_replica(("config", 1, b"1")))
    of_a_later_era = begin_era_without(make_replica(("config", 3, b"1"), era=2))
    for peer in (knew_less, of_a_later_era):
        replica.add_lost_writes(
            peer.lost_writes(now=0.0), latest_lost=peer.position.latest_lost, now=0.0
        )
        assert replica.value("evacuate/a") == b"{}"


def test_a_lost_removal_stays_beside_a_peer_that_copied_after_it():
    replica = make_replica(("config", 1, b"1"), ("evacuate/a", 2, b"{}"))
    replica.apply([PublishedItem(key="evacuate/a", revision=9, value=None)])
    copied = [
        PublishedItem(key="config", revision=1, value=b"1"),
        PublishedItem(key="evacuate/a", revision=2, value=b"{}"),
    ]
    replica.begin_era(copied, revision=2, era=2, now=0.0)
    replica.add_lost_writes((), latest_lost=replica.position.latest_lost, now=0.0)
    assert replica.value("evacuate/a") is None
