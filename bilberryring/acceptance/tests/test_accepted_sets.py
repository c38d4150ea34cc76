"""Acceptance of sets when operators publish concurrently and readers lag behind."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bilberryring.acceptance import (
    AcceptedSets,
    Candidate,
    PublishedKey,
    PublishedKeys,
    RefusalReason,
    SetInForce,
    Verdict,
    evaluate_candidate,
    readers_of_domain,
)
from bilberryring.objects import (
    NO_DIGEST,
    FailureDomain,
    Manifest,
    ModelEndpoint,
    ObjectSet,
    PartReference,
    compute_digest,
)

PROCESSES = 4


def manifest_after(predecessor: Manifest | None, label: str) -> Manifest:
    number = predecessor.number + 1 if predecessor else 1
    history = (predecessor.digest, *predecessor.history) if predecessor else ()
    part = PartReference(kind=label, digest=compute_digest(label.encode()), size=0)
    return Manifest(number=number, parts=(part,), history=history)


def put_in_force(sets: AcceptedSets, manifest: Manifest) -> bool:
    return sets.put_in_force(
        SetInForce(manifest=manifest, parts={}, objects=ObjectSet())
    )


class SpreadingMachine(RuleBasedStateMachine):
    """Operators publish, perhaps at once; readers lag; peers pull."""

    def __init__(self):
        super().__init__()
        self.store: list[tuple[PublishedKey, Manifest]] = []
        self.sets = [AcceptedSets() for _ in range(PROCESSES)]
        self.keys = [PublishedKeys() for _ in range(PROCESSES)]
        self.seen = [0] * PROCESSES
        self.history: list[list[int]] = [[] for _ in range(PROCESSES)]
        self.winners: dict[int, str] = {}

    def write(self, manifest: Manifest) -> None:
        revision = len(self.store) + 1
        key = PublishedKey(
            key=f"{manifest.number}-{manifest.digest}",
            number=manifest.number,
            created=revision,
            modified=revision,
        )
        self.store.append((key, manifest))
        self.winners.setdefault(manifest.number, manifest.digest)

    @rule(operator=st.integers(0, PROCESSES - 1), label=st.text("ab", max_size=3))
    def publish_on_what_a_process_has(self, operator, label):
        in_force = self.sets[operator].in_force
        predecessor = in_force.manifest if in_force else None
        self.write(manifest_after(predecessor, label + str(len(self.store))))

    @rule(operator=st.integers(0, PROCESSES - 1))
    def two_publish_at_once(self, operator):
        in_force = self.sets[operator].in_force
        predecessor = in_force.manifest if in_force else None
        for label in ("first", "second"):
            self.write(manifest_after(predecessor, label + str(len(self.store))))

    @rule(reader=st.integers(0, PROCESSES - 1), upto=st.integers(0, 100))
    def read_platform(self, reader, upto):
        """Read a prefix of the revisions, perhaps an old one."""
        revision = min(upto, len(self.store))
        visible = self.store[self.seen[reader] : revision]
        self.seen[reader] = max(self.seen[reader], revision)
        for key, _ in visible:
            self.keys[reader].add(key)
        sets = self.sets[reader]
        for key, manifest in visible:
            if not self.keys[reader].is_first(key):
                sets.consider(Candidate(manifest=manifest, is_first_write=False))
        # Of equal numbers the later comes first, so that order cannot help.
        newest_first = sorted(
            reversed(visible), key=lambda item: item[0].number, reverse=True
        )
        for key, manifest in newest_first:
            if self.keys[reader].is_first(key):
                verdict = sets.consider(Candidate(manifest=manifest))
                if verdict is Verdict.ACCEPTABLE:
                    self.accept(reader, manifest)
                    return

    @rule(behind=st.integers(0, PROCESSES - 1), ahead=st.integers(0, PROCESSES - 1))
    def pull_from_peer(self, behind, ahead):
        source = self.sets[ahead].in_force
        if source is None or source.manifest.number <= self.sets[behind].number:
            return
        verdict = self.sets[behind].consider(Candidate(manifest=source.manifest))
        if verdict is Verdict.ACCEPTABLE:
            self.accept(behind, source.manifest)

    @rule(process=st.integers(0, PROCESSES - 1))
    def restart(self, process):
        self.sets[process] = AcceptedSets()
        self.keys[process] = PublishedKeys()
        self.seen[process] = 0
        self.history[process] = []

    def accept(self, process: int, manifest: Manifest) -> None:
        if put_in_force(self.sets[process], manifest):
            self.history[process].append(manifest.number)

    @invariant()
    def never_steps_back(self):
        for numbers in self.history:
            assert numbers == sorted(set(numbers))

    @invariant()
    def only_the_first_of_a_number_is_in_force(self):
        for sets in self.sets:
            if sets.in_force is not None:
                assert sets.digest == self.winners[sets.number]


SpreadingMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, deadline=None, derandomize=True
)
test_spreading_machine = SpreadingMachine.TestCase


def test_an_older_set_is_not_put_in_force():
    first = manifest_after(None, "a")
    second = manifest_after(first, "b")
    sets = AcceptedSets()
    assert put_in_force(sets, second)
    assert sets.consider(Candidate(manifest=first)) is Verdict.OLDER
    assert not put_in_force(sets, first)
    assert sets.number == 2


def test_the_second_set_of_a_number_is_refused_when_the_first_was_not_seen():
    first = manifest_after(None, "a")
    second = manifest_after(first, "b")
    sets = AcceptedSets()
    put_in_force(sets, first)
    candidate = Candidate(manifest=second, is_first_write=False)
    assert sets.consider(candidate) is Verdict.NOT_FIRST_WRITE
    successor = manifest_after(second, "c")
    assert sets.consider(Candidate(manifest=successor)) is Verdict.BUILT_ON_REFUSED


def test_a_set_that_skips_a_refused_number_is_acceptable():
    first = manifest_after(None, "a")
    third = Manifest(number=3, parts=(), history=(NO_DIGEST, first.digest))
    assert (
        evaluate_candidate(Candidate(manifest=third), in_force=first)
        is Verdict.ACCEPTABLE
    )


def test_a_set_refused_for_its_content_does_not_block_its_successor():
    first = manifest_after(None, "a")
    bad = manifest_after(first, "b")
    fixed = manifest_after(bad, "c")
    sets = AcceptedSets()
    put_in_force(sets, first)
    sets.consider(Candidate(manifest=bad))
    sets.refuse_pending(reason=RefusalReason.INCONSISTENT, remedy="")
    assert sets.consider(Candidate(manifest=bad)) is Verdict.REFUSED_BEFORE
    assert sets.consider(Candidate(manifest=fixed)) is Verdict.ACCEPTABLE


def test_a_corrupt_part_is_not_added():
    sets = AcceptedSets()
    assert not sets.add_part(compute_digest(b"right"), b"wrong")


def test_each_domain_has_two_readers():
    domains = {
        name: FailureDomain(name=name, region="r") for name in ("valpo-a", "vina-b")
    }
    endpoints = {
        f"e{index}": ModelEndpoint(
            name=f"e{index}",
            failure_domain="valpo-a" if index % 2 else "vina-b",
            sidecar=f"10.0.0.{index + 1}:9",
            versions=(),
        )
        for index in range(9)
    }
    objects = ObjectSet(failure_domains=domains, model_endpoints=endpoints)
    readers = [readers_of_domain(objects, name) for name in domains]
    assert [len(names) for names in readers] == [2, 2]
    assert not readers[0] & readers[1]
