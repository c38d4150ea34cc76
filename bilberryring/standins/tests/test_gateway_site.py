"""A site of gateways says why one of them is not ready."""

import pytest

from bilberryring.standins.gateway_site import GatewaySite


def test_a_gateway_that_exits_is_not_awaited_until_the_timeout():
    site = GatewaySite().start()
    try:
        with pytest.raises(RuntimeError, match="gateway-1 exited: .*settings_invalid"):
            site.start_gateway(store_address='"')
        names = [name for name, _ in site.log_ends()]
        assert names == ["store, exit status None", "gateway-1, exit status 2"]
        assert "settings_invalid" in site.log_ends()[1][1]
    finally:
        site.stop()
