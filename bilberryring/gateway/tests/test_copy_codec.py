"""Copies between gateways, some of which are of an earlier version."""

import json
import random

import pytest

from bilberryring.core import compress
from bilberryring.fleet import NoLossRules, PublishedItem, Replica, Revision
from bilberryring.gateway.copy_codec import (
    MAX_VALUES_BYTES,
    answer_query,
    decode_items,
    decode_latest_lost,
    decode_lost_writes,
    make_query,
)
from bilberryring.gateway.report_codec import decode_report
from bilberryring.standins.gateway_site import make_configuration, make_route
from bilberryring.wire import (
    CopyAnswer,
    CopyItem,
    CopyQuery,
    CopyRevision,
    GatewayReport,
    decode_envelope,
    encode_envelope,
)
from bilberryring.wire.gen.ttypes import Envelope

PREFIX = "op/"


class KeepingRules(NoLossRules):
    def supersedes(self, key, stored, lost):
        return False

    def keeps_missing(self, key):
        return True

    def hold_seconds(self, key):
        return 9.0


def item(key, revision, value=b"1"):
    return PublishedItem(key=key, revision=revision, value=value)


def restored_replica():
    """A replica in era 2, whose store has lost `a` and the removal of `b`."""
    replica = Replica(rules=KeepingRules())
    before = [item("a", 7), item("b", 2), item("c", 3)]
    replica.begin_era(before, revision=8, era=1, now=0.0)
    replica.apply([item("b", 9, None)])
    replica.begin_era([item("b", 2), item("c", 3)], revision=4, era=2, now=0.0)
    return replica


def transfer(query, replica, *, now=0.0):
    answer = answer_query(query, replica, now=now)
    return decode_envelope(encode_envelope(Envelope(copy_answer=answer))).copy_answer


def test_lost_writes_go_with_a_copy():
    replica = restored_replica()
    answer = transfer(make_query(PREFIX, Replica().position), replica, now=4.0)
    assert (answer.era, answer.is_delta) == (2, False)
    assert decode_items(answer) == replica.items
    assert decode_lost_writes(answer) == replica.lost_writes(now=4.0)
    assert decode_latest_lost(answer) == Revision(era=1, number=9)


def test_changes_are_sent_only_within_an_era():
    replica = restored_replica()
    replica.apply([item("d", 5)])
    same_era = CopyQuery(prefix=PREFIX, revision=4, era=2)
    earlier_era = CopyQuery(prefix=PREFIX, revision=9, era=1)
    assert [each.key for each in decode_items(transfer(same_era, replica))] == ["d"]
    assert not transfer(earlier_era, replica).is_delta


def test_a_gateway_of_an_earlier_version_gets_the_answer_that_it_knows():
    replica = restored_replica()
    replica.apply([item("d", 5)])
    answer = transfer(CopyQuery(prefix=PREFIX, revision=4), replica)
    assert (answer.is_delta, answer.revision) == (True, 5)


def test_the_positions_of_a_gateway_of_an_earlier_version_are_not_compared():
    report = GatewayReport(
        incarnation="i",
        sequence=1,
        revisions=[CopyRevision(prefix=PREFIX, revision=90)],
    )
    decoded = decode_report(report, host="10.0.0.2")
    assert (decoded.knows_eras, decoded.positions) == (False, ())


def routes_of_a_large_configuration(count=1_650):
    generator = random.Random(1)
    configuration = make_configuration(
        routes=[
            make_route(
                f"/{generator.randbytes(4).hex()}/",
                "idempotent",
                "orders",
                name=f"r-{generator.randbytes(3).hex()}",
                host=f"{generator.randbytes(3).hex()}.example",
            )
            for _ in range(count)
        ]
    )
    return json.dumps(configuration).encode()


def large_replica():
    replica = Replica()
    replica.replace([item("a", 7, routes_of_a_large_configuration())], revision=7)
    return replica


def test_copies_of_a_large_configuration_do_not_fill_a_gateways_link():
    # At 3,300 changes a day a node has 3 KB/s for control.
    bytes_per_change = 3_000 * 86_400 / 3_300
    replica = large_replica()
    answer = answer_query(make_query(PREFIX, Replica().position), replica, now=0.0)
    assert len(encode_envelope(Envelope(copy_answer=answer))) < bytes_per_change
    assert decode_items(answer) == replica.items


def test_a_gateway_of_an_earlier_version_gets_values_that_it_can_read():
    replica = large_replica()
    answer = transfer(CopyQuery(prefix=PREFIX, revision=0, era=0), replica)
    assert [item.value for item in answer.items] == [replica.value("a")]


@pytest.mark.parametrize("value", [b"no", compress(b"x" * 5_000)[:-6]])
def test_a_compressed_value_that_is_malformed_is_refused(value):
    answer = CopyAnswer(
        items=[CopyItem(key="op/a", revision=1, compressed_value=value)]
    )
    with pytest.raises(ValueError):
        decode_items(answer)


def test_compressed_values_are_bounded_together():
    value = compress(bytes(MAX_VALUES_BYTES // 3 + 1))
    items = [CopyItem(key="op/a", revision=1, compressed_value=value)] * 3
    assert len(decode_items(CopyAnswer(items=items[:2]))) == 2
    with pytest.raises(ValueError):
        decode_items(CopyAnswer(items=items))
