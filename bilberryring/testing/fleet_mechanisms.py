"""The mechanisms of entries, names and crashes, for `testing.mechanisms`."""

from bilberryring.testing.mechanism import Mechanism

UNKNOWN_SERVICES = "bilberryring/platform/tests/test_unknown_services.py"
FIRST_START = "bilberryring/platform/tests/test_first_start.py"
FORGOTTEN = "bilberryring/gateway/tests/test_forgotten_quarantine.py"

FLEET_MECHANISMS = (
    Mechanism(
        name="an entry of an unknown service is no endpoint",
        module="platform/translation.py",
        present="if not self._is_of_known_service(endpoint):\n            self._fleet",
        absent="if False:\n            self._fleet",
        test=f"{UNKNOWN_SERVICES}"
        "::test_an_entry_of_an_unknown_service_cuts_off_no_request",
    ),
    Mechanism(
        name="an entry is looked at again when a configuration names its service",
        module="platform/translation.py",
        present="            self._announce_of_new_services()\n",
        absent="",
        test=f"{UNKNOWN_SERVICES}"
        "::test_an_entry_that_comes_before_its_service_is_an_endpoint_from_then_on",
    ),
    Mechanism(
        name="an endpoint whose service is dropped stays one",
        module="platform/translation.py",
        present="return known is not None and known.service == endpoint.service",
        absent="return False",
        test=f"{UNKNOWN_SERVICES}::test_an_endpoint_stays_when_its_service_is_dropped",
    ),
    Mechanism(
        name="connections to a later run stay when the earlier entry goes",
        module="gateway/daemon.py",
        present="if not self._fleet.endpoints.has_address(endpoint.address):",
        absent="if True:",
        test="bilberryring/platform/tests/test_ended_runs.py"
        "::test_connections_to_a_run_that_has_started_stay_when_the_earlier_entry_goes",
    ),
    Mechanism(
        name="the settings tell of the first start of a fleet",
        module="gateway/daemon.py",
        present="        if settings.is_first_start:\n",
        absent="        if True:\n",
        test=f"{FIRST_START}"
        "::test_a_store_that_lists_all_that_was_written_shows_no_first_start",
    ),
    Mechanism(
        name="a request of one attempt is refused after a crash that it explains",
        module="gateway/crash_record.py",
        present="return self._suspects.is_sole_cause(fingerprint, now=now)",
        absent="return False",
        test=f"{FIRST_START}::test_a_request_of_one_attempt"
        "_crashes_one_endpoint_after_a_loss_of_all_gateways",
    ),
    Mechanism(
        name="a request that ran for a while explains no crash",
        module="quarantine/crash_causes.py",
        present="return own <= AT_ONCE_SECONDS and all(",
        absent="return own < math.inf and all(",
        test=f"{FORGOTTEN}"
        "::test_a_request_that_ran_for_a_while_is_not_refused_after_one_crash",
    ),
    Mechanism(
        name="of several requests only the last one explains a crash",
        module="quarantine/crash_causes.py",
        present="seconds - own >= APART_SECONDS",
        absent="seconds >= 0.0",
        test=f"{FORGOTTEN}"
        "::test_requests_that_were_sent_together_are_not_refused_after_one_crash",
    ),
    Mechanism(
        name="another crash at that moment is another explanation",
        module="quarantine/crash_causes.py",
        present="if abs(other.at - known.at) <= COINCIDENCE_SECONDS",
        absent="if False",
        test=f"{FORGOTTEN}::test_a_request_is_not_refused"
        "_if_another_endpoint_crashed_at_that_moment",
    ),
    Mechanism(
        name="a request that was answered before explains no crash",
        module="gateway/crash_record.py",
        present="if not self._answered.keys().isdisjoint(death.fingerprints):",
        absent="if False:",
        test=f"{FORGOTTEN}"
        "::test_a_request_that_was_answered_before_is_not_refused_after_one_crash",
    ),
    Mechanism(
        name="names of workspaces have a coding of their own each",
        module="platform/headers.py",
        present="    return workspace.encode()\n",
        absent='    return workspace.encode("latin-1", "replace")\n',
        test="bilberryring/platform/tests/test_headers.py"
        "::test_no_two_workspaces_are_the_same_to_an_endpoint",
    ),
)
