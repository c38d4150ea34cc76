"""`check` and `diff` of the tool with configurations of the platform."""

import json
import signal
import socket
import subprocess
import sys

import pytest
from click.testing import CliRunner

from bilberryring.platform.listing import (
    MAX_ENTRIES,
    decode_listing,
)
from bilberryring.platform.tests.test_odd_configurations import ODD_CONFIGURATIONS
from bilberryring.standins.gateway_site import (
    API_KEY,
    GatewaySite,
    make_configuration,
    make_route,
)
from bilberryring.tool.files import MAX_FILE_BYTES
from bilberryring.tool.main import main

SECRET = "secret-key-of-cafes"
OTHER_SECRET = "another-secret"


@pytest.fixture
def run():
    return lambda *arguments: CliRunner().invoke(main, [str(a) for a in arguments])


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a configuration, or other text, to a file."""

    def write_file(content, name="new.json"):
        path = tmp_path / name
        text = content if isinstance(content, str) else json.dumps(content)
        path.write_text(text, "utf-8")
        return path

    return write_file


@pytest.fixture(scope="module")
def store_site():
    """A store without gateways."""
    site = GatewaySite().start()
    yield site
    site.stop()


def publish_in_force(site):
    site.set_store_mode()
    site.publish(make_configuration(5))
    for name in ("a", "b"):
        site.announce(name, "127.0.0.1:9000")
        site.announce(f"model-{name}", "127.0.0.1:9000", service="model")


@pytest.mark.parametrize("case", ODD_CONFIGURATIONS)
def test_what_gateways_refuse_is_an_error_of_the_check(run, tmp_path, case):
    """Guards against a configuration that is sound here and refused by gateways."""
    path = tmp_path / "odd.json"
    path.write_bytes(ODD_CONFIGURATIONS[case])
    checked = run("check", path)
    assert (checked.exit_code, checked.exception.__class__) == (1, SystemExit)
    assert ". Remedy: " in checked.output
    assert all(len(line) < 900 for line in checked.output.splitlines())


def test_exit_statuses_tell_errors_from_warnings(run, write):
    """Guards against a script that takes warnings for errors, or for nothing."""
    sound = make_configuration()
    spare = [*sound["services"], {"name": "spare"}]
    assert run("check", write(sound)).exit_code == 0
    warned = run("check", write(sound | {"services": spare}))
    assert warned.exit_code == 3
    assert "warning: service_unused: services[2]:spare: " in warned.output
    assert "7 entries, 1 findings (1 warnings)" in warned.output
    wrong = run("check", write(sound | {"services": spare[1:]}))
    assert wrong.exit_code == 1
    assert "\nservice_missing: routes[1]:r-charge:backends: " in wrong.output


def test_json_has_code_severity_location_and_remedy(run, write):
    """Guards against findings that a program cannot read."""
    document = make_configuration(tenants=[{"name": "bars"}])
    shown = json.loads(run("check", write(document), "--json").output)
    (detail,) = shown["details"]
    assert detail["code"] == "workspace_without_keys"
    assert detail["severity"] == "warning"
    assert detail["location"] == "tenants[0]:bars:api_keys"
    assert detail["message"] and detail["remedy"]


def test_all_malformed_routes_are_shown_in_one_run(run, write):
    """Guards against one run for each fault, as the decoder stops at the first."""
    document = make_configuration()
    del document["routes"][0]["host"]
    document["routes"][2]["timeout_ms"] = "soon"
    output = run("check", write(document)).output
    assert "route_unreadable: routes[0]: " in output
    assert "route_unreadable: routes[2]: " in output


@pytest.mark.parametrize(
    ("content", "code"),
    [
        ("{", "configuration_unreadable"),
        ("[" * 100_000, "configuration_unreadable"),
        (" " * (MAX_FILE_BYTES + 1), "input_unreadable"),
    ],
    ids=["cut", "deep", "long"],
)
def test_an_unreadable_file_is_an_error_with_a_remedy(run, write, content, code):
    """Guards against a traceback, and against a file that fills the memory."""
    path = write(content)
    for command in ("check", "diff"):
        shown = run(command, path, "--onto", write(make_configuration(), "old.json"))
        assert shown.exit_code == 1
        assert f"{code}: " in shown.output and ". Remedy: " in shown.output
        assert len(shown.output) < 1_500
    assert "difference unknown" in shown.output


@pytest.mark.parametrize(
    "changes",
    [
        {"routes": [0] * (MAX_ENTRIES + 1)},
        {"services": [{"name": "a"}] * (MAX_ENTRIES + 1)},
        {"tenants": [{"name": "a", "api_keys": [""] * MAX_ENTRIES}]},
    ],
    ids=["routes", "services", "keys"],
)
def test_too_many_entries_are_one_error(run, write, changes):
    """Guards against a finding for each of millions of entries, in 1.4 GB."""
    checked = run("check", write(make_configuration(**changes)))
    assert checked.exit_code == 1
    assert f"at most {MAX_ENTRIES} are checked" in checked.output
    assert checked.output.endswith("0 entries, 1 findings\n")


def test_diff_names_each_change_with_the_platform_s_names(run, write):
    """Guards against a change that is not named, or under a name nobody published."""
    old = make_configuration(5)
    new = make_configuration(
        6,
        routes=[
            make_route("/look/", "idempotent", "orders", timeout_ms=5_000),
            *old["routes"][1:],
        ],
        services=[{"name": "orders", "max_connections": 7}, old["services"][1]],
        limits={"idle_timeout_ms": 6_000, "max_body_bytes": 1_000_000},
        tenants=[
            {"name": "bars", "api_keys": [API_KEY, SECRET], "priority": 1},
            {"name": "cafes", "api_keys": [OTHER_SECRET]},
        ],
    )
    arguments = (write(new), "--onto", write(old, "old.json"))
    shown = run("diff", *arguments)
    assert (shown.exit_code, shown.output.splitlines()) == (
        0,
        [
            "changed version (5 to 6)",
            "changed routes/r-look (timeout_ms)",
            "changed services/orders (max_connections)",
            "changed tenants/bars (api_keys, 1 keys added, 0 removed)",
            "added tenants/cafes",
            "changed limits (max_body_bytes, 4194304 to 1000000 bytes)",
            "changed limits (idle_timeout_ms, 5 to 6 s)",
            "7 entries differ",
        ],
    )
    kinds = {
        item["kind"] for item in json.loads(run("diff", *arguments, "--json").output)
    }
    assert kinds == {"version", "routes", "services", "tenants", "limits"}


def test_api_keys_are_never_printed(run, write):
    """Guards against keys in terminals and logs of a build."""
    tenants = [
        {"name": "bars", "api_keys": [SECRET, OTHER_SECRET]},
        {"name": "cafes", "api_keys": [SECRET]},
    ]
    path = write(make_configuration(2, tenants=tenants))
    malformed = write(
        make_configuration(2, tenants=[{"name": "a", "api_keys": SECRET}]), "bad.json"
    )
    old = write(make_configuration(), "old.json")
    outputs = [
        run(command, new, *more, *form).output
        for command in ("check", "diff")
        for new in (path, malformed)
        for more in ((), ("--onto", old), ("--onto", malformed))
        for form in ((), ("--json",))
    ]
    assert "key_of_two_workspaces: tenants[1]:cafes:api_keys: " in outputs[0]
    for output in outputs:
        assert output
        for key in (SECRET, OTHER_SECRET, API_KEY):
            assert key not in output
    listing = decode_listing(path.read_bytes())
    assert SECRET not in repr(listing)


def test_the_version_in_force_is_read_from_the_store(run, write, store_site):
    """Guards against a version that gateways would not take, and too many attempts."""
    publish_in_force(store_site)
    path = write(make_configuration(5, limits={}))
    checked = run("check", path, "--store", store_site.store_address)
    assert checked.exit_code == 1
    assert "version_not_higher: version: 5 is not above 5" in checked.output
    path = write(make_configuration(6, limits={}))
    checked = run("check", path, "--store", store_site.store_address)
    assert (checked.exit_code, checked.output) == (0, "6 entries, 0 findings\n")
    shown = run("diff", path, "--store", store_site.store_address)
    assert shown.exit_code == 0
    assert shown.output.splitlines() == [
        "changed version (5 to 6)",
        "changed limits (idle_timeout_ms, 5 to 15 s)",
        "2 entries differ",
    ]


def test_the_endpoints_in_the_store_are_compared_with_attempts(run, write, store_site):
    """Guards against leaving and unreadable endpoints that count as usable."""
    publish_in_force(store_site)
    store_site.announce("b", "127.0.0.1:9000", state="draining")
    store_site.put("servers/odd", b"{")
    path = write(make_configuration(6))
    checked = run("check", path, "--store", store_site.store_address)
    assert checked.exit_code == 3
    assert checked.output.splitlines()[0].startswith(
        "warning: attempts_above_endpoints: routes[0]:r-look:attempts: "
        "2 attempts, but 1 endpoints of 'orders'"
    )


def test_a_store_without_a_configuration_has_none_in_force(run, write, store_site):
    """Guards against a first publication that counts as unknown."""
    publish_in_force(store_site)
    store_site.remove("op/config")
    store_site.put("op/config/else", b"{")
    path = write(make_configuration(1))
    address = store_site.store_address
    assert run("check", path, "--store", address).exit_code == 0
    assert "added version (1)" in run("diff", path, "--store", address).output
    store_site.remove("op/config/else")


def break_nothing(site):
    return "127.0.0.1:1"


def refuse(site):
    site.set_store_mode(refusing=True)
    return site.store_address


def keep_silent(site):
    site.set_store_mode(silent=True)
    return site.store_address


def publish_odd(site):
    site.put("op/config", b'{"version": "x"}')
    return site.store_address


def publish_odd_route(site):
    site.publish(make_configuration(5, routes=[{}]))
    return site.store_address


def name_no_address(site):
    return "no address"


def name_nothing(site):
    # As a shell passes a variable that is not set.
    return ""


@pytest.mark.parametrize(
    "fault",
    [
        break_nothing,
        refuse,
        keep_silent,
        publish_odd,
        publish_odd_route,
        name_no_address,
        name_nothing,
    ],
)
def test_without_the_version_in_force_the_findings_are_shown(
    run, write, store_site, fault
):
    """Guards against an outage of the store that hides the findings for the file."""
    publish_in_force(store_site)
    address = fault(store_site)
    services = [*make_configuration()["services"], {"name": "spare"}]
    path = write(make_configuration(6, services=services))
    checked = run("check", path, "--store", address)
    assert checked.exit_code == 3
    shown = run("diff", path, "--store", address)
    assert shown.exit_code == 2
    for output in (checked.output, shown.output):
        assert "warning: service_unused: services[2]:spare" in output
        assert "warning: in_force_unknown: version: " in output
    assert shown.output.splitlines()[-1].startswith("difference unknown: ")
    assert ". Remedy: " in shown.output.splitlines()[-1]
    as_json = json.loads(run("diff", path, "--store", address, "--json").output)
    assert as_json["difference"] == "unknown" and as_json["remedy"]
    assert len(as_json["findings"]) == 2


def test_an_interrupted_read_of_the_store_ends_without_a_traceback(write):
    """Guards against a stop of the reactor that stops already."""
    path = write(make_configuration(6))
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        process = subprocess.Popen(
            [sys.executable, "-m", "bilberryring.tool.main"]
            + ["diff", str(path), "--store", address],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        listener.settimeout(30.0)
        connection, _ = listener.accept()
        with connection:
            connection.recv(1)
            process.send_signal(signal.SIGINT)
            output, errors = process.communicate(timeout=30.0)
    assert (process.returncode, errors) == (2, "")
    assert "difference unknown: " in output


def test_an_unreadable_file_in_force_leaves_the_difference_unknown(run, write):
    """Guards against a difference from nothing when the old file is broken."""
    path, old = write(make_configuration(6)), write("{", "old.json")
    assert run("check", path, "--onto", old).exit_code == 3
    assert run("diff", path, "--onto", old).exit_code == 2
    assert run("diff", path, "--onto", path.parent).exit_code == 2


def test_options_that_contradict_each_other_are_a_usage_error(run, write, tmp_path):
    """Guards against an option that has silently no effect."""
    path = write(make_configuration())
    both = ("--onto", path, "--store", "127.0.0.1:1")
    assert run("check", path, *both).exit_code == 2
    assert run("diff", path, *both).exit_code == 2
    assert run("check", tmp_path, "--onto", path).exit_code == 2
    assert run("diff", tmp_path, "--store", "127.0.0.1:1").exit_code == 2
