"""The settings key that turns learned speeds off."""

import pytest

from bilberryring.platform.settings import decode_settings

TEXT = """
node = "g1"
ip = "10.0.0.1"
zone = "north"
listen = {front = "10.0.0.1:80", ready = "10.0.0.1:81"}
platform = {address = "10.0.0.2:84"}
"""


@pytest.mark.parametrize(
    ("line", "learns"),
    [("", True), ("learn_capacity = true", True), ("learn_capacity = false", False)],
)
def test_switch_is_read_from_the_settings_file(line, learns):
    """Guards against a switch in the file that the gateway does not follow."""
    assert decode_settings(f"{line}\n{TEXT}").learns_capacity is learns
