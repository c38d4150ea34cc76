"""A mutation check: a test must fail once the mechanism that it guards is removed.

`bin/without` copies the tree, removes one mechanism from the copy and runs its test
there. A test that still passes does not guard the mechanism, and is reported.
"""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import click

from bilberryring.testing.capacity_mechanisms import CAPACITY_MECHANISMS
from bilberryring.testing.fleet_mechanisms import FLEET_MECHANISMS
from bilberryring.testing.mechanism import Mechanism
from bilberryring.testing.processes import scratch_directory
from bilberryring.testing.soak_checks import CHECKS
from bilberryring.testing.stop_mechanisms import STOP_MECHANISMS

ROOT = Path(__file__).parents[2]
TEST_SECONDS = 300
SCENARIOS = "bilberryring/scenarios/tests"
SIGNAL_MOMENTS = "bilberryring/process/tests/test_signals_at_any_moment.py"


MECHANISMS = (
    Mechanism(
        name="ledger joins a running copy",
        module="execution/ledger.py",
        present="if record is not None:\n            return self._decide",
        absent="if record and record.refusal:\n            return self._decide",
        test=f"{SCENARIOS}/test_at_most_once.py"
        "::test_one_ticket_goes_through_both_entries_at_the_same_moment",
    ),
    Mechanism(
        name="refusals are recorded",
        module="execution/ledger.py",
        present="        return self._open_record(call, now, refusal)",
        absent="        if refusal:\n"
        "            return Refuse(code=refusal, outcome=RunOutcome.NOT_RUN)\n"
        "        return self._open_record(call, now, refusal)",
        test=f"{SCENARIOS}/test_at_most_once.py"
        "::test_a_ticket_of_a_failure_domain_that_was_taken_out_meanwhile",
    ),
    Mechanism(
        name="a ticket belongs to one incarnation",
        module="execution/ledger.py",
        present="if call.ticket.incarnation != self._incarnation:",
        absent="if not call.ticket.incarnation:",
        test="bilberryring/execution/tests/test_ledger.py::test_ledger_machine",
    ),
    Mechanism(
        name="deadlines on the receiver's clock",
        module="execution/ledger.py",
        present="if refusal is None and now >= deadline:",
        absent="if refusal is None and now >= deadline + 999:",
        test=f"{SCENARIOS}/test_at_most_once.py"
        "::test_the_sidecar_freezes_past_the_deadline_with_the_call_unread",
    ),
    Mechanism(
        name="the first of a number counts",
        module="acceptance/published_keys.py",
        present="return is_created_first and key.created == key.modified",
        absent="return is_created_first or key.created == key.modified",
        test="bilberryring/acceptance/tests/test_accepted_sets.py"
        "::test_spreading_machine",
    ),
    Mechanism(
        name="sets only move forward",
        module="acceptance/evaluation.py",
        present="    return Verdict.OLDER",
        absent="    return Verdict.ACCEPTABLE",
        test="bilberryring/acceptance/tests/test_accepted_sets.py"
        "::test_spreading_machine",
    ),
    Mechanism(
        name="a process that starts asks peers",
        module="entry/daemon.py",
        present="for vm in sidecars[:MAX_STARTUP_PEERS]:",
        absent="for vm in sidecars[:0]:",
        test=f"{SCENARIOS}/test_in_force.py"
        "::test_a_process_starts_while_the_platform_is_stale",
    ),
    Mechanism(
        name="peers pull from peers",
        module="process/configuration.py",
        present="        if number > self._sets.number:\n",
        absent="        if number > self._sets.number + 99:\n",
        test=f"{SCENARIOS}/test_in_force.py::test_a_change_is_published",
    ),
    Mechanism(
        name="broken answers go on elsewhere",
        module="entry/prompt_request.py",
        present="        if not self._budget.try_spend():\n",
        absent="        if self._budget:\n",
        test=f"{SCENARIOS}/test_whole_answers.py::test_an_engine_dies_in_midstream",
    ),
    Mechanism(
        name="messages of other attempts are dropped",
        module="entry/prompt_request.py",
        present="attempt = self._running.get(message.attempt)",
        absent="attempt = next(iter(self._running.values()), None)",
        test="bilberryring/entry/tests/test_prompt_request.py"
        "::test_late_messages_of_an_abandoned_attempt_are_dropped",
    ),
    Mechanism(
        name="a failed copy puts peers in doubt",
        module="gateway/peer_view.py",
        present="        if self._is_doubted(host):\n            return False",
        absent="        if host:\n            return False",
        test="bilberryring/platform/tests/test_one_way_links.py"
        "::test_a_change_is_in_force_despite_a_one_way_link[25-copies-unheard]",
    ),
    Mechanism(
        name="a connection that marks the end of a response is reset at a kill",
        module="http/caller_channel.py",
        present="        set_reset_on_close(self.transport, True)",
        absent="        set_reset_on_close(self.transport, False)",
        test="bilberryring/platform/tests/test_ends_of_connections.py"
        "::test_a_gateway_that_ends_never_completes_a_stream[unframed-kill]",
    ),
    Mechanism(
        name="an endpoint that crashed completes no answer",
        module="gateway/answer_ends.py",
        present="failure = await self._pool.connection_failure(endpoint.address)",
        absent="failure = None",
        test="bilberryring/platform/tests/test_ends_of_connections.py"
        "::test_an_endpoint_that_crashes_after_an_event_does_not_complete_a_stream[direct-1.1]",
    ),
    Mechanism(
        name="earlier crashes are told again",
        module="gateway/crash_record.py",
        present="return (*self.recent_deaths(), *self._retold_deaths())",
        absent="return self.recent_deaths()",
        test="bilberryring/gateway/tests/test_lasting_quarantine.py"
        "::test_a_quarantine_outlives_a_restart_of_all_gateways_in_turn[4]",
    ),
    Mechanism(
        name="bodies at once are bounded together",
        module="http/client.py",
        present="        if self._n_bytes > MAX_HELD_BYTES:",
        absent="        if self._n_bytes > 99 * MAX_HELD_BYTES:",
        test="bilberryring/http/tests/test_bounded_answers.py"
        "::test_endless_bodies_at_once_are_bounded_together",
    ),
    Mechanism(
        name="pages of a list are bounded together",
        module="platform/store.py",
        present="            if n_bytes > MAX_LIST_BYTES:",
        absent="            if n_bytes > 99 * MAX_LIST_BYTES:",
        test="bilberryring/platform/tests/test_odd_store_answers.py"
        "::test_a_list_whose_pages_are_too_long_together_is_given_up",
    ),
    Mechanism(
        name="the retry budget",
        module="execution/retry_budget.py",
        present="if self._balance < 1.0:",
        absent="if self._balance < -1e9:",
        test=f"{SCENARIOS}/test_whole_answers.py::test_every_engine_refuses_the_model",
    ),
    Mechanism(
        name="silence ends an attempt",
        module="entry/sidecar_links.py",
        present="channel.deliver(EndpointSilent())",
        absent="channel.deliver(None)",
        test=f"{SCENARIOS}/test_whole_answers.py"
        "::test_a_sidecar_freezes_in_midstream_and_wakes_late",
    ),
    Mechanism(
        name="the audit of the engine's memory",
        module="sidecar/engine_watch.py",
        present="            if item.request in owned:",
        absent="            if item.request:",
        test=f"{SCENARIOS}/test_whole_answers.py"
        "::test_nobody_is_left_who_wants_the_prompts_of_a_dead_sidecar",
    ),
    Mechanism(
        name="vanished callers are cancelled",
        module="entry/caller_site.py",
        present="request.notifyFinish()"
        ".addErrback(lambda _: task.caller_disconnected())\n"
        "        caller.ending.sink",
        absent="request.notifyFinish().addErrback(lambda _: None)\n"
        "        caller.ending.sink",
        test=f"{SCENARIOS}/test_whole_answers.py::test_the_caller_goes_away",
    ),
    Mechanism(
        name="an entry drains",
        module="entry/daemon.py",
        present="while self._state.in_progress:",
        absent="while not self._state:",
        test=f"{SCENARIOS}/test_whole_answers.py"
        "::test_prompts_go_on_through_a_planned_stop_of_an_entry",
    ),
    Mechanism(
        name="a sidecar drains",
        module="sidecar/daemon.py",
        present="if self._in_progress():\n",
        absent="if self._in_progress() > 9999:\n",
        test=f"{SCENARIOS}/test_at_most_once.py"
        "::test_the_sidecar_drains_while_the_service_works",
    ),
    Mechanism(
        name="domains that are out are refused",
        module="objects/object_set.py",
        present="if domain.state is DomainState.OUT",
        absent="if domain.state is None",
        test=f"{SCENARIOS}/test_failure_domains.py::test_out_and_back_under_load",
    ),
    Mechanism(
        name="a leaving sidecar refuses new work",
        module="sidecar/daemon.py",
        present="if self._is_draining or self._is_superseded:",
        absent="if self._is_superseded:",
        test=f"{SCENARIOS}/test_failure_domains.py"
        "::test_an_endpoint_that_leaves_gets_no_new_work_though_the_list_is_late",
    ),
    Mechanism(
        name="the cold allowance",
        module="admission/allowance.py",
        present="        self._limit = initial_limit\n",
        absent="        self._limit = full_limit\n",
        test="bilberryring/admission/tests/test_prompt_admission.py"
        "::test_admission_machine",
    ),
    Mechanism(
        name="the quarantine",
        module="quarantine/suspicions.py",
        present="CRASHES_UNTIL_QUARANTINE = 2",
        absent="CRASHES_UNTIL_QUARANTINE = 99",
        test=f"{SCENARIOS}/test_crashing_requests.py"
        "::test_the_caller_sends_it_again_through_both_entries",
    ),
    Mechanism(
        name="short classes are prefilled first",
        module="admission/work.py",
        present="self.length_class.prefill_rank * PRIORITIES_PER_CLASS",
        absent="0 * PRIORITIES_PER_CLASS",
        test="bilberryring/admission/tests/test_prompt_admission.py"
        "::test_short_prompts_start_beside_a_long_one_with_a_better_priority",
    ),
    Mechanism(
        name="gateways divide the limit on starts by the users of an endpoint",
        module="gateway/endpoint_slices.py",
        present="        return max(1, int(limit / users))",
        absent="        return max(1, int(limit / min(users, 2)))",
        test="bilberryring/gateway/tests/test_endpoint_slices.py"
        "::test_all_gateways_together_keep_to_the_cold_start_limit",
    ),
    Mechanism(
        name="a gateway that was just added uses few endpoints",
        module="gateway/endpoint_slices.py",
        present="        is_provisional = not self._is_settled\n",
        absent="        is_provisional = False\n",
        test="bilberryring/gateway/tests/test_endpoint_slices.py"
        "::test_gateways_that_were_just_added_do_not_overbook",
    ),
    Mechanism(
        name="complete reports make good what was lost",
        module="gateway/peers.py",
        present="        if now - self._completed_at >= COMPLETE_REPORT_SECONDS:",
        absent="        if now - self._completed_at >= 9 * COMPLETE_REPORT_SECONDS:",
        test="bilberryring/gateway/tests/test_peer_network.py"
        "::test_work_whose_end_was_not_reported_is_removed_by_a_complete_report",
    ),
    Mechanism(
        name="readers that fail are replaced",
        module="gateway/store_readers.py",
        present="if access is not StoreAccess.FAILING",
        absent="if access is not None",
        test="bilberryring/gateway/tests/test_peer_network.py"
        "::test_each_neighbourhood_has_readers_and_replaces_those_that_fail",
    ),
    Mechanism(
        name="crashes are passed on",
        module="gateway/crash_record.py",
        present="            self._unsent.append(death)",
        absent="            pass",
        test="bilberryring/gateway/tests/test_peer_network.py"
        "::test_a_crash_becomes_known_beyond_the_neighbours",
    ),
    Mechanism(
        name="a list moves the position up to its first page alone",
        module="fleet/replica.py",
        present="        self._advance_position(copied + removals, most=revision)\n",
        absent="        self._advance_position(copied + removals)\n",
        test="bilberryring/fleet/tests/test_paged_lists.py::TestPagedLists",
    ),
    Mechanism(
        name="a replica with fewer items at the same position is copied",
        module="fleet/replica.py",
        present="return self.is_level_with(other) and self.n_items < other.n_items",
        absent="return False",
        test="bilberryring/fleet/tests/test_paged_lists.py::test_a_removal_that_only"
        "_a_later_list_shows_reaches_a_replica_at_that_position",
    ),
    Mechanism(
        name="a request is sent again once a crash would be known",
        module="gateway/forwarding.py",
        present="            await wait_at_most(check, seconds=DEATH_CHECK_SECONDS,",
        absent="            wait_at_most(check, seconds=DEATH_CHECK_SECONDS,",
        test="bilberryring/gateway/tests/test_forwarding.py"
        "::test_a_request_is_sent_again_once_it_is_known_whether_its_endpoint_crashed",
    ),
    Mechanism(
        name="two crashes are enough while earlier ones may be forgotten",
        module="quarantine/suspicions.py",
        present="        if not record.crashes_as_suspect:\n",
        absent="        if True:\n",
        test="bilberryring/gateway/tests/test_forgotten_quarantine.py",
    ),
    Mechanism(
        name="a connection has to last as proof that its endpoint runs",
        module="gateway/connection_pool.py",
        present="            if connection.is_open:\n",
        absent="            if True:\n",
        test="bilberryring/gateway/tests/test_connection_pool.py",
    ),
    Mechanism(
        name="a connection has ended in order if its socket says so",
        module="gateway/endpoint_connection.py",
        present="@implementer(IHalfCloseableProtocol)\nclass EndpointConnection",
        absent="class EndpointConnection",
        test="bilberryring/gateway/tests/test_ends_of_uploads.py",
    ),
    Mechanism(
        name="the rest of a request is written before its answer ends",
        module="http/read_end.py",
        present="    elif awaits_rest:\n",
        absent="    elif False:\n",
        test="bilberryring/gateway/tests/test_ends_of_uploads.py",
    ),
    Mechanism(
        name="an answer has a status of HTTP",
        module="gateway/endpoint_connection.py",
        present="        if h11_response.status_code > MAX_STATUS:\n",
        absent="        if False:\n",
        test="bilberryring/gateway/tests/test_endpoint_connection.py",
    ),
    Mechanism(
        name="changes alone are copied only where all removals are known",
        module="fleet/replica.py",
        present="if revision < max(self._complete_revision, self._dropped_revision):",
        absent="if revision < 0:",
        test="bilberryring/fleet/tests/test_replica.py::TestReplicasWithDeltas",
    ),
    Mechanism(
        name="memory of a lead that is gone is not renewed",
        module="gateway/reservations.py",
        present="        while not await self._manager.can_connect(self._lead):",
        absent="        while not self._lead:",
        test="bilberryring/platform/tests/test_reservations.py"
        "::test_memory_for_a_lead_that_fell_silent_is_not_renewed_past_the_bound",
    ),
    Mechanism(
        name="streams are kept together only beside long prompts",
        module="routing/prompt_planner.py",
        present="MAX_PACKED_SHARE * min(1.0, self._backlog_ms / FULL_PACKING_MS)",
        absent="MAX_PACKED_SHARE",
        test="bilberryring/routing/tests/test_prompt_load.py"
        "::test_gateways_that_know_of_each_other_late_do_not_fill_the_same_engines",
    ),
    Mechanism(
        name="bytes that complete no event are no progress",
        module="gateway/attempts.py",
        present="        is_progress = has_data(complete_events)",
        absent="        is_progress = True",
        test="bilberryring/platform/tests/test_endless_answers.py"
        "::test_a_stream_that_sends_bytes_but_no_event_is_given_up",
    ),
    Mechanism(
        name="answers without end are cut off",
        module="gateway/attempts.py",
        present="                    if held.n_bytes > MAX_BODY_BYTES:",
        absent="                    if held.n_bytes < 0:",
        test="bilberryring/platform/tests/test_endless_answers.py"
        "::test_an_endless_answer_is_cut_off_and_the_call_retried",
    ),
    Mechanism(
        name="long answers wait for each other",
        module="gateway/held_answers.py",
        present="            answer.pause()",
        absent="            pass",
        test="bilberryring/gateway/tests/test_held_answers.py"
        "::test_bodies_without_end_hold_a_bounded_number_of_bytes",
    ),
    Mechanism(
        name="bytes of a body are dropped with its attempt",
        module="gateway/attempts.py",
        present="            parts.clear()",
        absent="            pass",
        test="bilberryring/gateway/tests/test_held_answers.py"
        "::test_at_most_the_last_block_is_kept_after_a_deadline",
    ),
    Mechanism(
        name="a wait for other long answers is no silence",
        module="gateway/attempts.py",
        present="        return max(since, relay.response.paused_until)",
        absent="        return since",
        test="bilberryring/gateway/tests/test_held_answers.py"
        "::test_an_endpoint_that_waits_for_others_is_not_silent",
    ),
    Mechanism(
        name="few heads are skipped before an answer",
        module="gateway/endpoint_connection.py",
        present="        if self._skipped_heads > MAX_SKIPPED_HEADS:",
        absent="        if False:",
        test="bilberryring/gateway/tests/test_endpoint_connection.py"
        "::test_many_heads_before_an_answer_end_the_connection_early",
    ),
    Mechanism(
        name="an order of memory has a connection of its own",
        module="gateway/endpoint_connection.py",
        present="bool(request_id) and request_id not in self._request_ids",
        absent="request_id not in self._request_ids or not request_id",
        test="bilberryring/platform/tests/test_reservations.py"
        "::test_a_copy_of_an_earlier_answer_grants_no_memory",
    ),
    Mechanism(
        name="a watch outlives an unexpected exception",
        module="platform/watch.py",
        present="            except Exception as error:",
        absent="            except ZeroDivisionError as error:",
        test="bilberryring/platform/tests/test_store_watch.py"
        "::test_an_unexpected_exception_is_logged_and_the_store_is_listed_again",
    ),
    Mechanism(
        name="a body is refused while it comes",
        module="http/caller_channel.py",
        present="            return\n        if self.requests[-1].is_body_too_large:",
        absent="            return\n        if False:",
        test="bilberryring/platform/tests/test_abusive_callers.py"
        "::test_a_request_without_end_gets_an_error_and_harms_no_other",
    ),
    Mechanism(
        name="a body has a time",
        module="http/caller_channel.py",
        present="self._set_timer(MAX_BODY_SECONDS, ErrorCode.BODY_TOO_SLOW)",
        absent="self._set_timer(None)",
        test="bilberryring/http/tests/test_caller_limits.py"
        "::test_a_body_that_comes_too_slowly_is_refused_in_time",
    ),
    Mechanism(
        name="the rest of a refused body is bounded",
        module="http/caller_channel.py",
        present="        self._lingered_bytes += len(data)\n",
        absent="",
        test="bilberryring/http/tests/test_caller_limits.py"
        "::test_the_rest_of_a_refused_body_is_dropped_and_bounded",
    ),
    Mechanism(
        name="the rest of a refused body is read",
        module="http/caller_channel.py",
        present="        if not self.linger_bytes:\n",
        absent="        if True:\n",
        test="bilberryring/http/tests/test_caller_limits.py"
        "::test_the_rest_of_a_refused_body_is_dropped_and_bounded",
    ),
    Mechanism(
        name="heads of endpoints are bounded",
        module="gateway/endpoint_connection.py",
        present="h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES",
        absent="h11.CLIENT, max_incomplete_event_size=2**40",
        test="bilberryring/gateway/tests/test_endpoint_connection.py"
        "::test_a_head_or_a_line_has_a_bound",
    ),
    Mechanism(
        name="no connection is reused whose end waits unread",
        module="gateway/endpoint_connection.py",
        present="return not poll.poll(0)",
        absent="return True",
        test="bilberryring/platform/tests/test_closed_idle_connections.py",
    ),
    Mechanism(
        name="no connection is reused after a long body",
        module="gateway/endpoint_connection.py",
        present="self._has_long_body = len(body) > MAX_REUSE_BODY_BYTES",
        absent="self._has_long_body = False",
        test="bilberryring/platform/tests/test_bodies_read_late.py"
        "::test_no_request_waits_behind_the_body_of_one_that_is_answered",
    ),
    Mechanism(
        name="an abandoned response is read on for a while only",
        module="gateway/endpoint_connection.py",
        present="self._reactor.callLater(ABANDONED_SECONDS, self._end_abandoned)",
        absent="pass",
        test="bilberryring/platform/tests/test_hung_bookings.py",
    ),
    Mechanism(
        name="a call with a ticket refused for its key has an unknown outcome",
        module="entry/caller_site.py",
        present="_no_ledger_error(request, ErrorCode.KEY_UNKNOWN, retry_after=None)",
        absent="_not_run_error(ErrorCode.KEY_UNKNOWN)",
        test="bilberryring/entry/tests/test_caller_site.py",
    ),
    Mechanism(
        name="a call with a ticket refused for its service has an unknown outcome",
        module="entry/caller_site.py",
        present="_no_ledger_error("
        "request, ErrorCode.SERVICE_UNKNOWN, retry_after=None)",
        absent="_not_run_error(ErrorCode.SERVICE_UNKNOWN)",
        test="bilberryring/entry/tests/test_caller_site.py",
    ),
    Mechanism(
        name="a call with a ticket refused for its size has an unknown outcome",
        module="entry/caller_site.py",
        present="_no_ledger_error(request, ErrorCode.BODY_TOO_LARGE, retry_after=None)",
        absent="_not_run_error(ErrorCode.BODY_TOO_LARGE)",
        test="bilberryring/entry/tests/test_caller_site.py",
    ),
    Mechanism(
        name="a service with a weight of 0 is not chosen",
        module="gateway/request_gate.py",
        present="            if share.service in services and share.weight\n",
        absent="            if share.service in services\n",
        test="bilberryring/platform/tests/test_services_taken_away.py",
    ),
    Mechanism(
        name="an endpoint that returns is untracked later only",
        module="entry/sidecar_links.py",
        present="        self._untrack_at.pop(name, None)\n",
        absent="",
        test="bilberryring/entry/tests/test_sidecar_links.py",
    ),
    Mechanism(
        name="a gateway takes its signals before its slow imports",
        module="platform/process.py",
        present="    PROCESS_SIGNALS.install()\n",
        absent="",
        test=f"{SIGNAL_MOMENTS}::test_hangups_before_the_process_runs_are_acted_on_once",
    ),
    Mechanism(
        name="an entry or a sidecar takes its signals before its slow imports",
        module="daemon.py",
        present="    PROCESS_SIGNALS.install()\n",
        absent="",
        test=f"{SIGNAL_MOMENTS}::test_hangups_before_the_process_runs_are_acted_on_once",
    ),
    Mechanism(
        name="a signal that came early ends the start",
        module="process/running.py",
        present="    if signals.has_termination:\n",
        absent="    if False:\n",
        test=f"{SIGNAL_MOMENTS}"
        "::test_a_termination_before_the_daemon_starts_opens_no_listener",
    ),
    Mechanism(
        name="a change during the first read of the settings is seen",
        module="platform/gateway_process.py",
        present="            loaded_settings_version=loaded_version,\n",
        absent="            loaded_settings_version=settings_version(),\n",
        test="bilberryring/platform/tests/test_early_changes.py",
    ),
    Mechanism(
        name="signals are ignored as the interpreter exits",
        module="process/early_signals.py",
        present="            signal.signal(number, signal.SIG_IGN)\n",
        absent="            pass\n",
        test=f"{SIGNAL_MOMENTS}::test_signals_during_the_exit_change_nothing",
    ),
    Mechanism(
        name="a listener that closes takes no new connection",
        module="process/running.py",
        present="            drop_handshakes(listening_port.socket)\n",
        absent="            pass\n",
        test="bilberryring/process/tests/test_closing_listeners.py",
    ),
    Mechanism(
        name="a listener closes although the kernel refuses its filter",
        module="process/running.py",
        present="        except OSError as error:\n",
        absent="        except EOFError as error:\n",
        test="bilberryring/process/tests/test_closing_listeners.py"
        "::test_a_listener_closes_where_the_kernel_takes_no_filter",
    ),
    Mechanism(
        name="a listener accepts until its socket is closed",
        module="process/running.py",
        present="self._reactor.callLater(0, _accept_waiting, listening_port)",
        absent="pass",
        test="bilberryring/process/tests/test_closing_listeners.py",
    ),
    Mechanism(
        name="refused polls end no prompt that is written",
        module="sidecar/prompt_runner.py",
        present="is_writing = attempt.tokens_sent_at >= since",
        absent="is_writing = False",
        test="bilberryring/sidecar/tests/test_prompt_runner.py"
        "::test_refused_polls_end_no_prompt_whose_tokens_arrive",
    ),
    Mechanism(
        name="the listener closes before a stop ends",
        module="gateway/daemon.py",
        present='        await self._listeners.close("caller_address")\n',
        absent="",
        test="bilberryring/gateway/tests/test_drain.py"
        "::test_a_gateway_accepts_connections_until_just_before_a_stop_ends",
    ),
    Mechanism(
        name="each request to an engine has a connection of its own",
        module="http/client.py",
        present="persistent: bool = False",
        absent="persistent: bool = True",
        test="bilberryring/adapters/tests/test_repeated_answers.py"
        "::test_a_second_copy_of_an_answer_is_no_answer_to_the_next_request",
    ),
    Mechanism(
        name="a copy of a peer is bounded",
        module="gateway/peers.py",
        present="                max_frame_bytes=MAX_COPY_BYTES,\n",
        absent="",
        test="bilberryring/gateway/tests/test_copies_of_peers.py"
        "::test_a_copy_that_is_too_large_ends_its_connection_at_once",
    ),
    Mechanism(
        name="a suspect runs after the answers of all sidecars",
        module="quarantine/suspect_turns.py",
        present="            case SuspectState.RUNNING:\n                return False",
        absent="            case SuspectState.RUNNING:\n                return True",
        test="bilberryring/sidecar/tests/test_prompt_runner.py"
        "::test_a_question_is_answered_after_the_report_of_the_crash",
    ),
    Mechanism(
        name="a prompt quarantined while it waits is not started",
        module="sidecar/prompt_runner.py",
        present="        self._refuse_quarantined()\n",
        absent="",
        test="bilberryring/sidecar/tests/test_prompt_runner.py"
        "::test_a_prompt_quarantined_while_it_waits_is_not_started",
    ),
    Mechanism(
        name="a gateway with fresh copies is not stale",
        module="platform/watch.py",
        present="        if is_cut_off and StoreAccess.WORKING not in accesses:",
        absent="        if is_cut_off:",
        test="bilberryring/platform/tests/test_store_health.py"
        "::test_the_state_is_current_while_a_live_peer_can_read",
    ),
    Mechanism(
        name="prompts with a quarantined part are refused",
        module="gateway/forwarding.py",
        present="        if part is not None:",
        absent="        if False:",
        test="bilberryring/platform/tests/test_requests.py"
        "::test_prompts_with_a_part_that_crashes_endpoints_are_held_back",
    ),
    Mechanism(
        name="explained crashes count no more",
        module="quarantine/part_evidence.py",
        present="            and not any(item in explained for item in crash.parts)\n",
        absent="",
        test="bilberryring/quarantine/tests/test_parts.py"
        "::test_a_second_part_is_found_beside_one_that_explains_more_crashes",
    ),
    Mechanism(
        name="parts that were just answered need stronger evidence",
        module="quarantine/parts.py",
        present="        if not self._was_served_before(suspect):",
        absent="        if True:",
        test="bilberryring/quarantine/tests/test_parts.py"
        "::test_engines_that_crash_together_do_not_quarantine_what_all_prompts_share",
    ),
    Mechanism(
        name="complete reports name the parts in quarantine",
        module="gateway/peers.py",
        present="encode_parts(self._crashes.standings()) if is_complete else []",
        absent="[]",
        test="bilberryring/gateway/tests/test_crashing_parts.py"
        "::test_a_gateway_that_starts_later_learns_what_is_quarantined",
    ),
    Mechanism(
        name="news of crashes are passed on at once",
        module="gateway/peers.py",
        present="        crashes.set_listener(self._schedule_news)",
        absent="        pass",
        test="bilberryring/gateway/tests/test_crashing_parts.py"
        "::test_news_of_crashes_reach_all_gateways_within_half_a_second",
    ),
    Mechanism(
        name="callers connect to a gateway while it imports its modules",
        module="platform/process.py",
        present="early_listener = open_caller_listener()",
        absent="early_listener = None",
        test="bilberryring/platform/tests/test_early_start.py"
        "::test_a_request_that_is_sent_during_a_start_is_answered",
    ),
    Mechanism(
        name="callers are accepted when the published state has been read",
        module="gateway/daemon.py",
        present='        self._listeners.hold("caller_address")\n',
        absent="",
        test="bilberryring/platform/tests/test_early_start.py"
        "::test_a_request_that_is_sent_during_a_start_is_answered",
    ),
    Mechanism(
        name="a stream that ends inside an event is broken off",
        module="execution/answer_end.py",
        present="case AnswerEnd(place=Place.INSIDE_EVENT) | ",
        absent="case ",
        test="bilberryring/platform/tests/test_answer_ends.py"
        "::test_a_stream_that_is_not_known_to_be_complete_is_resumed_or_cut",
    ),
    Mechanism(
        name="a stream of which only the connection tells the end is resumed",
        module="gateway/answer_ends.py",
        present="fate is EndpointFate.CRASHED or not context.route.may_repeat",
        absent="True",
        test="bilberryring/platform/tests/test_answer_ends.py"
        "::test_a_stream_that_is_not_known_to_be_complete_is_resumed_or_cut",
    ),
    Mechanism(
        name="a watch notices that the store is in another era",
        module="platform/store.py",
        present="        _check_era(_era_of(response), expected=era)\n",
        absent="",
        test="bilberryring/platform/tests/test_restored_store.py"
        "::test_an_endpoint_that_is_not_back_in_time_gets_no_more_requests",
    ),
    Mechanism(
        name="entries and sidecars notice that the platform is in another era",
        module="process/platform_watch.py",
        present="        self._begin_era(answer.revision)\n",
        absent="        self._revision = answer.revision\n",
        test="bilberryring/process/tests/test_restored_platform.py"
        "::test_a_set_is_read_whose_revision_was_given_out_before",
    ),
    Mechanism(
        name="after a return peers of entries and sidecars come first",
        module="process/platform_watch.py",
        present="self._is_restored or self._sets.in_force is None",
        absent="self._sets.in_force is None",
        test="bilberryring/process/tests/test_restored_platform.py"
        "::test_a_lost_set_that_a_peer_tells_of_goes_before_another_of_its_number",
    ),
    Mechanism(
        name="a half-published set that was lost frees its number",
        module="process/platform_watch.py",
        present="self._keeper.drop_incomplete()",
        absent="pass",
        test="bilberryring/process/tests/test_restored_platform.py"
        "::test_a_half_published_set_that_was_lost_does_not_hold_up_its_number",
    ),
    Mechanism(
        name="what the store has lost goes with the copies",
        module="gateway/copy_codec.py",
        present="for write in replica.lost_writes(now=now)",
        absent="for write in ()",
        test="bilberryring/platform/tests/test_restored_store.py"
        "::test_a_gateway_that_starts_after_the_return_gets_the_lost_writes_from_a_peer",
    ),
    Mechanism(
        name="lost configurations and evacuations hold",
        module="platform/loss_rules.py",
        present="return key.startswith(OPERATOR_PREFIX)",
        absent="return False",
        test="bilberryring/platform/tests/test_restored_store_fleets.py"
        "::test_two_returns_in_a_row_and_gateways_that_start_then",
    ),
    Mechanism(
        name="a second return extends the time of missing endpoints",
        module="platform/translation.py",
        present="self._fleet.endpoints.hold_lapsed(until=now + RECOVERY_GRACE_SECONDS)",
        absent="pass",
        test="bilberryring/platform/tests/test_restored_store_fleets.py"
        "::test_two_returns_in_a_row_and_gateways_that_start_then",
    ),
    Mechanism(
        name="gateways of earlier versions are no readers",
        module="gateway/peer_view.py",
        present="            if self._peers[host].knows_eras\n",
        absent="",
        test="bilberryring/gateway/tests/test_peer_view.py"
        "::test_a_peer_that_knows_no_eras_is_no_reader",
    ),
    Mechanism(
        name="endpoints at the limit that they state get no request",
        module="gateway/endpoint_choice.py",
        present="            and self._statements.may_start(endpoint.run, now=now)\n",
        absent="",
        test="bilberryring/platform/tests/test_requests.py"
        "::test_an_endpoint_gets_no_more_requests_than_the_limit_it_states",
    ),
    Mechanism(
        name="gateways share the limit of an endpoint",
        module="admission/stated_limits.py",
        present="min(sharers / limit.per_second, TRIAL_SECONDS)",
        absent="1.0 / limit.per_second",
        test="bilberryring/gateway/tests/test_stated_limits.py"
        "::test_all_gateways_together_keep_to_the_limits_that_endpoints_state[25-69]",
    ),
    Mechanism(
        name="only some gateways share a limit",
        module="admission/stated_limits.py",
        present="self.place.rank < self.starters",
        absent="self.starters > 0",
        test="bilberryring/gateway/tests/test_stated_limits.py"
        "::test_gateways_do_not_all_use_a_limit_at_once_after_a_quiet_time",
    ),
    Mechanism(
        name="trials that are not used lapse",
        module="admission/stated_limits.py",
        present="        if into_interval < TRIAL_WINDOW_SECONDS:",
        absent="        if True:",
        test="bilberryring/gateway/tests/test_stated_limits.py"
        "::test_gateways_do_not_all_use_a_limit_at_once_after_a_quiet_time",
    ),
    Mechanism(
        name="rest that an endpoint asks for is kept",
        module="admission/endpoint_statements.py",
        present="        if statement.rest and self",
        absent="        if False and self",
        test="bilberryring/platform/tests/test_endpoint_statements.py"
        "::test_endpoints_that_all_rest_get_no_requests_until_the_time_they_asked_for",
    ),
    Mechanism(
        name="statements are asked again before the write",
        module="gateway/attempts.py",
        present="        if not self._is_still_usable(context, choice):",
        absent="        if False:",
        test="bilberryring/gateway/tests/test_attempts.py"
        "::test_nothing_is_written_if_an_endpoint_rests_or_leaves_since_the_choice",
    ),
    Mechanism(
        name="no memory is ordered at engines that rest or leave",
        module="gateway/reservations.py",
        present="        if not all(wanted):",
        absent="        if False and not all(wanted):",
        test="bilberryring/gateway/tests/test_reservations.py"
        "::test_no_memory_is_ordered_for_a_new_prompt_if_one_engine_rests_or_leaves",
    ),
    Mechanism(
        name="leaving that an endpoint states is kept",
        module="admission/endpoint_statements.py",
        present="        if statement.is_leaving:\n",
        absent="        if False:\n",
        test="bilberryring/platform/tests/test_endpoint_statements.py"
        "::test_an_endpoint_that_says_it_leaves_gets_no_request_although_the_store_is_silent",
    ),
    Mechanism(
        name="statements belong to one run of an endpoint",
        module="fleet/endpoints.py",
        present='f"{self.id}/{self.started_at_ms}"',
        absent="self.id",
        test="bilberryring/platform/tests/test_endpoint_statements.py"
        "::test_a_new_start_under_the_same_id_ends_what_the_endpoint_had_said",
    ),
    Mechanism(
        name="gateways return from a rest one after the other",
        module="admission/stated_rests.py",
        present="self._random.uniform(0.0, spread)",
        absent="self._random.uniform(0.0, 0.0)",
        test="bilberryring/admission/tests/test_endpoint_statements.py"
        "::test_a_fleet_returns_to_an_endpoint_with_few_requests_and_then_with_more",
    ),
    Mechanism(
        name="a request that is cancelled with its caller there is answered",
        module="gateway/forwarding.py",
        present="            if exchange.has_caller_left:\n",
        absent="            if True:\n",
        test="bilberryring/gateway/tests/test_forwarding.py"
        "::test_a_request_that_is_cancelled_with_its_caller_there_is_not_left_unanswered",
    ),
    Mechanism(
        name="versions that are read together are decoded once",
        module="fleet/replica.py",
        present="        return tuple(changed)\n\n    def _store_removals(",
        absent="        return tuple(item.key for item in items)\n\n"
        "    def _store_removals(",
        test="bilberryring/platform/tests/test_translation.py"
        "::test_versions_that_are_read_together_are_decoded_once",
    ),
    Mechanism(
        name="unchanged routes are not converted again",
        module="platform/configuration.py",
        present="    is_short = len(content) <= MAX_KNOWN_ROUTE_BYTES\n",
        absent="    is_short = False\n",
        test="bilberryring/platform/tests/test_translation.py"
        "::test_a_version_with_one_other_route_converts_only_that_one",
    ),
    Mechanism(
        name="a rest is no failure of health",
        module="gateway/forwarding.py",
        present="        if not refused.metadata.rest:\n",
        absent="        if True:\n",
        test="bilberryring/platform/tests/test_endpoint_statements.py"
        "::test_an_endpoint_is_as_good_as_before_after_its_rest",
    ),
    Mechanism(
        name="callers are told the least time",
        module="gateway/repeat_rules.py",
        present="        if seconds:\n            retry_after",
        absent="        if False:\n            retry_after",
        test="bilberryring/platform/tests/test_endpoint_statements.py"
        "::test_callers_are_told_the_least_time_until_an_endpoint_takes_requests",
    ),
    Mechanism(
        name="answers without an id are skipped on used connections",
        module="gateway/attempts.py",
        present="        if metadata.request_id is None and not is_reused:",
        absent="        if metadata.request_id is None:",
        test="bilberryring/platform/tests/test_unidentified_answers.py"
        "::test_a_copy_of_an_earlier_refusal_is_not_believed",
    ),
    Mechanism(
        name="an id is sent once on a connection",
        module="gateway/endpoint_connection.py",
        present="bool(request_id) and request_id not in self._request_ids",
        absent="bool(request_id)",
        test="bilberryring/platform/tests/test_unidentified_answers.py"
        "::test_a_copy_with_the_same_id_is_not_believed_when_a_caller_uses_an_id_twice",
    ),
    Mechanism(
        name="a silent prompt goes on at an entry",
        module="entry/prompt_request.py",
        present="        decision = await self._start_successor()",
        absent="        self._cancel_all()\n"
        "        decision = await self._start_successor()",
        test="bilberryring/entry/tests/test_prompt_request.py"
        "::test_a_silent_attempt_goes_on_if_the_retry_budget_is_spent",
    ),
    Mechanism(
        name="the first attempt that delivers ends the others",
        module="entry/prompt_request.py",
        present="        self._end_others(attempt)\n"
        "        self._progress.may_have_run = True",
        absent="        self._progress.may_have_run = True",
        test="bilberryring/entry/tests/test_prompt_request.py"
        "::test_a_silent_attempt_ends_once_another_has_delivered_something",
    ),
    Mechanism(
        name="a silent engine loses no prompt",
        module="sidecar/engine_watch.py",
        present="self._broken_polls = 0 if is_silent else self._broken_polls + 1",
        absent="self._broken_polls += 1",
        test="bilberryring/sidecar/tests/test_prompt_runner.py"
        "::test_an_engine_that_is_only_silent_loses_no_prompt",
    ),
    Mechanism(
        name="an entry's own pause is no silence",
        module="entry/sidecar_links.py",
        present="self._last_check + LATE_CHECK_SECONDS)",
        absent="self._reactor.seconds())",
        test="bilberryring/entry/tests/test_sidecar_links.py"
        "::test_a_pause_of_this_process_is_no_silence_of_a_sidecar",
    ),
    Mechanism(
        name="a link to an old address stays open",
        module="entry/sidecar_links.py",
        present="            self._retire(link)\n",
        absent="            link.stop()\n",
        test="bilberryring/entry/tests/test_sidecar_links.py"
        "::test_a_changed_address_does_not_end_the_attempts_at_the_old_one",
    ),
    Mechanism(
        name="the outcome of a repeated call covers all attempts",
        module="entry/service_request.py",
        present="last_error = _after(last_error, error)",
        absent="last_error = error",
        test="bilberryring/entry/tests/test_service_request.py"
        "::test_a_call_that_may_have_run_is_not_said_not_to_have_run",
    ),
    Mechanism(
        name="entries bound callers' requests",
        module="entry/daemon.py",
        present="            limits=CALLER_LIMITS,\n",
        absent="",
        test="bilberryring/scenarios/tests/test_abusive_callers.py"
        "::test_a_request_without_end_gets_an_error_and_harms_no_other",
    ),
    Mechanism(
        name="a silent attempt goes on",
        module="gateway/attempts.py",
        present="if not is_silent or wakes_at == gives_up_at:",
        absent="if True:",
        test="bilberryring/platform/tests/test_silent_endpoints.py"
        "::test_a_lookup_at_the_only_endpoint_is_answered_after_a_silence",
    ),
    Mechanism(
        name="a deadline before a silence is no failure",
        module="gateway/attempts.py",
        present="if is_silent and not self._is_overdue(relay):",
        absent="if False:",
        test="bilberryring/gateway/tests/test_forwarding.py"
        "::test_an_endpoint_that_was_never_silent_has_not_failed_at_a_short_deadline",
    ),
    Mechanism(
        name="a stream returns to the endpoint that was replaced",
        module="gateway/forwarding.py",
        present="if attempt.number and context.stream is not None:",
        absent="if False:",
        test="bilberryring/gateway/tests/test_forwarding.py"
        "::test_a_stream_goes_on_though_its_second_endpoint_breaks_after_an_event",
    ),
    Mechanism(
        name="another attempt needs an endpoint that is not silent",
        module="gateway/endpoint_choice.py",
        present="if not usable and allows_avoided:",
        absent="if not usable:",
        test="bilberryring/gateway/tests/test_endpoint_choice.py"
        "::test_endpoints_that_are_all_silent_get_requests_but_no_second_attempts",
    ),
    Mechanism(
        name="an error of a second endpoint ends no answer",
        module="gateway/attempts.py",
        present="        if context.exchange.has_started:\n            return True\n",
        absent="",
        test="bilberryring/platform/tests/test_silent_endpoints.py"
        "::test_an_endpoint_that_refuses_a_second_attempt_does_not_end_the_first",
    ),
    Mechanism(
        name="a slow caller is no silent endpoint",
        module="gateway/attempts.py",
        present="since = max(since, relay.context.exchange.held_back_until)",
        absent="pass",
        test="bilberryring/platform/tests/test_silent_endpoints.py"
        "::test_a_caller_that_reads_slowly_does_not_make_its_endpoint_silent",
    ),
    Mechanism(
        name="a prompt that waits for a slot of a full engine is not silent",
        module="gateway/attempts.py",
        present="            attempt.busy_seconds += attempt.slot_wait_seconds\n",
        absent="",
        test="bilberryring/gateway/tests/test_forwarding.py"
        "::test_no_second_attempt_starts_for_a_prompt_that_waits_for_a_slot",
    ),
    Mechanism(
        name="an engine that prefills is not silent",
        module="gateway/attempts.py",
        present="if not attempt.is_silent:\n            silent_at = self",
        absent="if False:\n            silent_at = self",
        test="bilberryring/gateway/tests/test_forwarding.py"
        "::test_no_second_attempt_starts_while_an_engine_prefills_a_long_prompt",
    ),
    Mechanism(
        name="known work excuses half of the time at most",
        module="routing/silence.py",
        present="min(busy + margin, BUSY_SHARE * (deadline - since))",
        absent="busy + margin",
        test="bilberryring/gateway/tests/test_forwarding.py"
        "::test_prompts_without_end_leave_half_of_the_time_for_a_second_attempt",
    ),
    Mechanism(
        name="requests are answered at the end of a stop",
        module="gateway/daemon.py",
        present="        self._forwarder.end_all()\n",
        absent="",
        test="bilberryring/platform/tests/test_ends_of_stops.py"
        "::test_a_stream_that_has_not_begun_at_the_end_of_a_stop_gets_an_error",
    ),
    Mechanism(
        name="answers that are ready are read before a stop ends",
        module="gateway/daemon.py",
        present="await deferLater(self._reactor, DRAIN_CHECK_SECONDS)\n        if",
        absent="if",
        test="bilberryring/platform/tests/test_ends_of_stops.py"
        "::test_an_answer_that_is_ready_at_the_end_of_a_stop_is_delivered",
    ),
    Mechanism(
        name="a stop sends only what can end in it",
        module="gateway/forwarding.py",
        present="if not self._fits_stop(context, choice):\n            raise",
        absent="if False:\n            raise",
        test="bilberryring/platform/tests/test_late_requests.py"
        "::test_a_prompt_in_a_stop_is_served_only_if_its_answer_is_predicted_to_end_in_it",
    ),
    Mechanism(
        name="endpoints get no deadline after a stop",
        module="gateway/forwarding.py",
        present="        context.deadline = deadline\n",
        absent="",
        test="bilberryring/platform/tests/test_late_requests.py"
        "::test_a_lookup_in_a_stop_has_a_deadline_before_its_end",
    ),
    Mechanism(
        name="an order of memory is awaited while its engine is silent",
        module="gateway/reservations.py",
        present="if self._is_refused or seconds_left <= 0.0:",
        absent="if self._is_refused or seconds_left <= 999.0:",
        test="bilberryring/gateway/tests/test_late_orders.py"
        "::test_an_order_that_is_answered_late_serves_its_prompt",
    ),
    Mechanism(
        name="a refused order ends the wait for the others",
        module="gateway/reservations.py",
        present="if self._is_refused or seconds_left <= 0.0:",
        absent="if seconds_left <= 0.0:",
        test="bilberryring/gateway/tests/test_late_orders.py"
        "::test_a_refusal_of_one_engine_ends_the_wait_for_the_others",
    ),
    Mechanism(
        name="an attempt that sends the request ends the orders of others",
        module="gateway/attempts.py",
        present="        running.end_unsent(attempt)\n",
        absent="",
        test="bilberryring/gateway/tests/test_late_orders.py"
        "::test_the_engine_that_answers_first_is_used_and_the_other_memory_is_released",
    ),
    Mechanism(
        name="one order of memory goes beside the first",
        module="gateway/forwarding.py",
        present="if running.n_unsent > MAX_UNSENT_BESIDE:",
        absent="if running.n_unsent > MAX_UNSENT_BESIDE + 9:",
        test="bilberryring/gateway/tests/test_late_orders.py"
        "::test_one_order_goes_beside_the_first_to_other_engines",
    ),
    Mechanism(
        name="a silent order is reported outside of its task",
        module="gateway/attempts.py",
        present="self._reactor.callLater(0, running.report_silence, attempt)",
        absent="running.report_silence(attempt)",
        test="bilberryring/gateway/tests/test_late_orders.py"
        "::test_an_attempt_that_needs_no_memory_ends_the_order_of_the_first_as_it_is_sent",
    ),
    Mechanism(
        name="an engine whose order waits is avoided",
        module="gateway/attempts.py",
        present="for endpoint in silent:",
        absent="for endpoint in ():",
        test="bilberryring/gateway/tests/test_late_orders.py"
        "::test_an_engine_whose_order_waits_is_avoided_until_it_answers",
    ),
    Mechanism(
        name="an engine without a connection is given up for another one",
        module="gateway/reservations.py",
        present="if reason is not FailureReason.SILENT and wait.has_another():",
        absent="if reason is None:",
        test="bilberryring/gateway/tests/test_late_orders.py"
        "::test_engines_that_accept_no_connection_do_not_keep_a_prompt_from_the_others",
    ),
    Mechanism(
        name="a later era needs two answers of the store",
        module="platform/watch.py",
        present="            await self._confirm_era(listing)\n",
        absent="",
        test="bilberryring/platform/tests/test_absurd_eras.py"
        "::test_an_era_of_the_first_answer_alone_does_not_last",
    ),
    Mechanism(
        name="a later era needs two answers of the platform",
        module="process/platform_watch.py",
        present="        copy = await self._watch_manifests(0.0, after=0)\n",
        absent="        self._begin_era(answer.revision)\n"
        "        copy = await self._watch_manifests(0.0, after=0)\n",
        test="bilberryring/process/tests/test_restored_platform.py"
        "::test_an_era_that_only_one_later_answer_states_does_not_last",
    ),
    Mechanism(
        name="a stop waits for releases of memory",
        module="gateway/daemon.py",
        present="        await self._wait_for_releases(until=stop.releases_until)\n",
        absent="",
        test="bilberryring/platform/tests/test_reservations.py"
        "::test_memory_is_released_before_the_process_exits_in_a_stop",
    ),
    Mechanism(
        name="a stop uses the grace that is left for releases of memory",
        module="gateway/daemon.py",
        present="self._wait_for_releases(until=stop.releases_until)",
        absent="self._wait_for_releases(until=stop.exits_at)",
        test="bilberryring/gateway/tests/test_drain.py"
        "::test_a_stop_waits_for_slow_answers_to_releases_that_began_at_its_end",
    ),
    Mechanism(
        name="a stop repeats releases of memory at once",
        module="gateway/reservations.py",
        present="        self._repeats_until = until\n",
        absent="",
        test="bilberryring/gateway/tests/test_drain.py"
        "::test_a_stop_repeats_releases_without_a_response_until_they_have_one",
    ),
    Mechanism(
        name="a stop repeats releases of memory that wait for their repeat",
        module="gateway/reservations.py",
        present="            repeat.reset(0)\n",
        absent="            pass\n",
        test="bilberryring/gateway/tests/test_drain.py"
        "::test_a_stop_repeats_releases_without_a_response_until_they_have_one",
    ),
    Mechanism(
        name="a stop does not wait for memory that has expired",
        module="gateway/reservations.py",
        present="until = min(self._repeats_until, expires_at)",
        absent="until = self._repeats_until",
        test="bilberryring/gateway/tests/test_drain.py"
        "::test_a_stop_does_not_wait_for_memory_that_has_expired_by_itself",
    ),
    Mechanism(
        name="late streams are not sent on a prediction",
        module="gateway/late_requests.py",
        present="and now >= stop.relies_until",
        absent="and False",
        test="bilberryring/platform/tests/test_stops_under_load.py"
        "::test_requests_that_run_for_as_long_or_longer_than_the_stop[grace6-4000-4.0]",
    ),
    Mechanism(
        name="requests are answered at the end of an entry's drain",
        module="entry/daemon.py",
        present="                self._caller_site.end_all()\n",
        absent="",
        test="bilberryring/scenarios/tests/test_ends_of_drains.py"
        "::test_a_stream_in_progress_when_an_entry_exits_ends_with_an_error",
    ),
    Mechanism(
        name="a soak finds answers that end although endpoints only paused",
        module="gateway/attempts.py",
        present="if not is_silent or wakes_at == gives_up_at:",
        absent="if True:",
        test="bilberryring/testing/tests/test_soak.py"
        "::test_a_short_soak_has_no_findings",
    ),
    Mechanism(
        name="a soak of planned work finds answers that end although endpoints paused",
        module="gateway/attempts.py",
        present="if not is_silent or wakes_at == gives_up_at:",
        absent="if True:",
        test="bilberryring/testing/tests/test_soak.py"
        "::test_a_short_soak_of_planned_work_has_no_findings",
    ),
    Mechanism(
        name="the first reader watches the store shortly",
        module="platform/watch.py",
        present="FIRST_WATCH_SECONDS = 1.0",
        absent="FIRST_WATCH_SECONDS = 8.0",
        test="bilberryring/platform/tests/test_lost_watch_fleets.py"
        "::test_watches_that_began_in_a_silence[3]",
    ),
    Mechanism(
        name="a gateway that becomes the first reader reads at once",
        module="platform/watch.py",
        present="            self._replace_if_first(call)\n",
        absent="            pass\n",
        test="bilberryring/platform/tests/test_lost_watch_fleets.py"
        "::test_the_gateways_that_notice_first_end_during_the_silence[3]",
    ),
    Mechanism(
        name="room for a body before it is read",
        module="http/caller_channel.py",
        present="elif not self.make_room_for_body():",
        absent="elif False:",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_bodies_of_legal_size_are_refused_before_they_are_read_when_none_fits",
    ),
    Mechanism(
        name="bodies that their heads rule out are dropped",
        module="http/caller_channel.py",
        present="self.requests[-1].discard_body()\n        if code",
        absent="if code",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_a_body_that_its_head_rules_out_is_not_kept",
    ),
    Mechanism(
        name="what has stopped gives way",
        module="http/client_budget.py",
        present="if now >= self._searches_from:",
        absent="if False:",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_a_body_that_stopped_gives_way_to_one_that_comes",
    ),
    Mechanism(
        name="requests in progress keep their memory",
        module="http/budgeted_channel.py",
        present="self.account.is_evictable = False",
        absent="self.account.is_evictable = True",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_a_request_in_progress_is_not_evicted",
    ),
    Mechanism(
        name="requests wait for responses to be read",
        module="http/budgeted_channel.py",
        present="if self._waitingForTransport and self.persistent:",
        absent="if False:",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_requests_in_one_read_wait_too_when_each_is_answered_at_once",
    ),
    Mechanism(
        name="little is read ahead beside an unread response",
        module="http/budgeted_channel.py",
        present="if self._ahead_bytes > self._optimisticEagerReadSize:",
        absent="if self._ahead_bytes > self._optimisticEagerReadSize and (\n"
        "            not self._waitingForTransport\n        ):",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_little_is_read_ahead_of_a_request_in_progress",
    ),
    Mechanism(
        name="trailers are dropped",
        module="http/budgeted_channel.py",
        present="trailers.clear()",
        absent="pass",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_trailers_are_not_kept",
    ),
    Mechanism(
        name="long header names are not remembered",
        module="http/header_names.py",
        present="if len(name) <= MAX_NAME_BYTES and",
        absent="if",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_long_header_names_are_not_remembered",
    ),
    Mechanism(
        name="connections have a limit",
        module="http/client_budget.py",
        present="if self._budget.n_open > self._limits.max_connections:",
        absent="if False:",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_above_the_limit_a_connection_that_was_never_used_is_closed",
    ),
    Mechanism(
        name="a request needs a descriptor for its endpoint",
        module="http/client_budget.py",
        present="if n_sockets < self._limits.max_sockets:",
        absent="if True:",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_a_request_without_a_descriptor_for_its_endpoint_is_refused",
    ),
    Mechanism(
        name="a closed connection is freed at once",
        module="gateway/caller_site.py",
        present="del channel.connectionLost",
        absent="pass",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_a_closed_connection_is_freed_at_once",
    ),
    Mechanism(
        name="progress is a rate",
        module="budget/accounts.py",
        present="min(now, self._progress_at + n_bytes / PROGRESS_RATE)",
        absent="now",
        test="bilberryring/budget/tests/test_budget.py"
        "::test_a_client_that_drips_bytes_falls_behind",
    ),
    Mechanism(
        name="large requests leave room for small ones",
        module="budget/accounts.py",
        present="limit *= LARGE_SHARE",
        absent="limit *= 1",
        test="bilberryring/budget/tests/test_budget.py"
        "::test_large_requests_leave_room_for_small_ones",
    ),
    Mechanism(
        name="answers wait while callers do not read",
        module="gateway/held_answers.py",
        present="if is_crowded or self._must_wait():",
        absent="if is_crowded:",
        test="bilberryring/gateway/tests/test_waiting_answers.py"
        "::test_no_answer_is_read_on_while_callers_do_not_read",
    ),
    Mechanism(
        name="links of unknown peers stay within the budget",
        module="wire/link.py",
        present="if account.is_evictable and not self._budget.make_room(account, 0):",
        absent="if False:",
        test="bilberryring/wire/tests/test_link_budget.py"
        "::test_half_sent_frames_of_unknown_peers_stay_within_the_budget",
    ),
    Mechanism(
        name="a refusal by the head keeps nothing that was read",
        module="gateway/head_checks.py",
        present="return error.with_traceback(None)",
        absent="return error",
        test="bilberryring/gateway/tests/test_head_checks.py"
        "::test_a_refusal_does_not_keep_what_was_read_with_the_head",
    ),
    Mechanism(
        name="pipelined requests take turns with other callers",
        module="http/budgeted_channel.py",
        present="is_turn_over = self._busyReceiving and",
        absent="is_turn_over = False and",
        test="bilberryring/http/tests/test_budgeted_channel.py"
        "::test_pipelined_requests_that_are_answered_at_once_let_others_have_a_turn",
    ),
    Mechanism(
        name="a body is decoded to a bounded number of objects",
        module="entry/body_checks.py",
        present="if n_objects > MAX_OBJECTS:",
        absent="if False:",
        test="bilberryring/entry/tests/test_body_checks.py"
        "::test_a_body_of_very_many_empty_messages_is_refused",
    ),
    Mechanism(
        name="one line a second on refused clients",
        module="process/client_budget_report.py",
        present="if self._unlogged and now >= self._logs_from:",
        absent="if self._unlogged:",
        test="bilberryring/process/tests/test_client_budget_report.py"
        "::test_refusals_make_one_line_a_second_with_their_number",
    ),
    *(
        Mechanism(
            name=f"soak check: {check}",
            module="testing/soak_checks.py",
            present=f'    "{check}": {function.__name__},',
            absent=f'    "{check}": lambda history: (),',
            test="bilberryring/testing/tests/test_soak_checks.py"
            f"::test_a_violation_is_found_by_its_check_alone[{check}]",
        )
        for check, function in CHECKS.items()
    ),
    *CAPACITY_MECHANISMS,
    *FLEET_MECHANISMS,
    *STOP_MECHANISMS,
)


def run_without(mechanism: Mechanism) -> bool:
    """Return whether the test of a mechanism fails in a copy of the tree without it.

    A `ClickException` is raised when the text of the mechanism is not in its module.
    """
    tree_copy = scratch_directory()
    try:
        shutil.copytree(ROOT / "bilberryring", tree_copy / "bilberryring")
        shutil.copytree(ROOT / "docs", tree_copy / "docs")
        shutil.copy(ROOT / "pyproject.toml", tree_copy)
        module = tree_copy / "bilberryring" / mechanism.module
        text = module.read_text("utf-8")
        if mechanism.present not in text:
            raise click.ClickException(
                f"{mechanism.name}: text not found in {mechanism.module}"
            )
        module.write_text(text.replace(mechanism.present, mechanism.absent), "utf-8")
        finished = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", mechanism.test],
            cwd=tree_copy,
            env=os.environ | {"PYTHONPATH": str(tree_copy)},
            capture_output=True,
            timeout=TEST_SECONDS,
        )
        return finished.returncode == 1
    finally:
        shutil.rmtree(tree_copy, ignore_errors=True)


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Remove one mechanism at a time and check that its test fails.

    NAMES are parts of mechanisms' names; without any, all mechanisms are checked.
    """
    chosen = [m for m in MECHANISMS if not names or any(n in m.name for n in names)]
    n_failed = 0
    for mechanism in chosen:
        has_failed = run_without(mechanism)
        n_failed += has_failed
        verdict = "fails without it" if has_failed else "STILL PASSES"
        click.echo(f"{verdict}: {mechanism.name}: {mechanism.test.split('::')[-1]}")
    click.echo(f"{n_failed} of {len(chosen)} tests fail without their mechanism")
    sys.exit(0 if n_failed == len(chosen) else 1)


if __name__ == "__main__":
    main()
