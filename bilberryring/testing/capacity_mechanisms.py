"""The mechanisms of learned speeds for the check of `testing.mechanisms`."""

from bilberryring.testing.mechanism import Mechanism

TESTS = "bilberryring/gateway/tests"
ESTIMATES = "bilberryring/capacity/tests"

CAPACITY_MECHANISMS = (
    Mechanism(
        name="a settings key turns learned speeds off",
        module="platform/settings.py",
        present="        learns_capacity=content.learn_capacity,\n",
        absent="",
        test="bilberryring/platform/tests/test_capacity_switch.py"
        "::test_switch_is_read_from_the_settings_file",
    ),
    Mechanism(
        name="a backlog that was over is no sign of speed",
        module="gateway/capacity_samples.py",
        present="choice.predicted_ms - choice.backlog_ms, at_most",
        absent="choice.predicted_ms, at_most",
        test=f"{TESTS}/test_capacity_samples.py"
        "::test_prompts_that_were_over_make_no_fast_engine",
    ),
    Mechanism(
        name="the mean gap bounds the pace",
        module="capacity/pace.py",
        present="max(middle, (now - self._began_at) / len(gaps))",
        absent="middle",
        test=f"{ESTIMATES}/test_speed.py"
        "::test_events_that_arrive_together_are_no_fast_pace",
    ),
    Mechanism(
        name="answers that waited for others are no samples",
        module="gateway/capacity_samples.py",
        present="        if paused_until >= attempt.sent_at:\n            return\n",
        absent="",
        test=f"{TESTS}/test_capacity_samples.py"
        "::test_answer_that_waited_for_others_is_no_sample",
    ),
    Mechanism(
        name="slow endpoints are told from others",
        module="capacity/endpoint_speeds.py",
        present="    return 1.0 if abs(log) < NOTABLE_LOG else math.exp(log)\n",
        absent="    return 1.0\n",
        test=f"{ESTIMATES}/test_endpoint_speeds.py"
        "::test_slow_endpoint_is_told_from_the_others",
    ),
    Mechanism(
        name="speeds are compared within a service",
        module="capacity/endpoint_speeds.py",
        present="        usual = _lower_median(logs)\n",
        absent="        usual = 0.0\n",
        test=f"{ESTIMATES}/test_endpoint_speeds.py"
        "::test_overload_of_the_whole_service_prefers_no_endpoint",
    ),
    Mechanism(
        name="small differences of speed change no choice",
        module="capacity/endpoint_speeds.py",
        present="NOTABLE_LOG = math.log(1.35)\n",
        absent="NOTABLE_LOG = 0.0\n",
        test=f"{ESTIMATES}/test_endpoint_speeds.py"
        "::test_errors_of_the_prediction_change_no_choice",
    ),
    Mechanism(
        name="capacity is raised slowly",
        module="capacity/speed.py",
        present="FALL = 0.25\n",
        absent="FALL = 1.0\n",
        test=f"{ESTIMATES}/test_speed.py"
        "::test_capacity_is_lowered_quickly_and_raised_slowly",
    ),
    Mechanism(
        name="estimates of speed decay",
        module="capacity/speed.py",
        present="HALF_LIFE_SECONDS = 3.0\n",
        absent="HALF_LIFE_SECONDS = 3e9\n",
        test=f"{ESTIMATES}/test_speed.py::test_estimate_without_samples_decays",
    ),
    Mechanism(
        name="the middle gap is the pace",
        module="capacity/pace.py",
        present="middle = sorted(gaps)[(len(gaps) - 1) // 2]",
        absent="middle = max(gaps)",
        test=f"{ESTIMATES}/test_speed.py"
        "::test_a_lost_packet_or_one_long_pass_is_not_the_pace",
    ),
    Mechanism(
        name="slow endpoints are tried again",
        module="capacity/endpoint_speeds.py",
        present="            if now >= record.probe_at:\n"
        "                step = min(1.0, step)\n                prefill",
        absent="            if now >= record.probe_at + 1e9:\n"
        "                step = min(1.0, step)\n                prefill",
        test=f"{ESTIMATES}/test_endpoint_speeds.py"
        "::test_slow_endpoint_gets_a_request_now_and_then",
    ),
    Mechanism(
        name="speeds belong to a run",
        module="capacity/endpoint_speeds.py",
        present="record.tag != run_tag(run):\n                self.forget",
        absent="record.tag < 0:\n                self.forget",
        test=f"{ESTIMATES}/test_endpoint_speeds.py::test_estimate_ends_with_the_run",
    ),
    Mechanism(
        name="reported speeds belong to a run",
        module="capacity/endpoint_speeds.py",
        present="        if record.tag != reported.run_tag:\n            return\n",
        absent="",
        test=f"{ESTIMATES}/test_endpoint_speeds.py"
        "::test_report_of_an_earlier_run_is_dropped",
    ),
    Mechanism(
        name="reported speeds are clamped",
        module="capacity/endpoint_speeds.py",
        present="        log = min(MAX_PEER_LOG, max(-MAX_PEER_LOG, log))\n",
        absent="",
        test=f"{TESTS}/test_reported_speeds.py"
        "::test_any_estimate_is_bounded_and_spoils_no_work",
    ),
    Mechanism(
        name="own samples weigh beside reported speeds",
        module="capacity/records.py",
        present="OWN_WEIGHT = 2.0\n",
        absent="OWN_WEIGHT = 0.0\n",
        test=f"{ESTIMATES}/test_endpoint_speeds.py"
        "::test_gateways_with_opposite_samples_meet_in_between",
    ),
    Mechanism(
        name="reported speeds expire",
        module="capacity/records.py",
        present="PEER_EXPIRY_SECONDS = 2.5\n",
        absent="PEER_EXPIRY_SECONDS = 2.5e9\n",
        test=f"{TESTS}/test_reported_speeds.py"
        "::test_estimate_of_a_lost_gateway_expires",
    ),
    Mechanism(
        name="speeds are reported to neighbours",
        module="gateway/report_codec.py",
        present="slowdown_hundredths=None if speed is None else "
        "_encode_slowdown(speed),",
        absent="slowdown_hundredths=None,",
        test=f"{TESTS}/test_reported_speeds.py::test_neighbours_learn_within_a_second",
    ),
    Mechanism(
        name="reports bound the number of speeds",
        module="capacity/endpoint_speeds.py",
        present="sorted(found)[:MAX_REPORTED]",
        absent="sorted(found)",
        test=f"{ESTIMATES}/test_endpoint_speeds.py::test_reports_are_bounded",
    ),
    Mechanism(
        name="learned limits are used by plain services",
        module="gateway/endpoint_choice.py",
        present="                load += OVER_LIMIT_WEIGHT * over\n",
        absent="",
        test=f"{TESTS}/test_capacity_choice.py"
        "::test_endpoint_beyond_its_learned_limit_gets_less[plain]",
    ),
    Mechanism(
        name="learned limits are used by plans",
        module="routing/prompt_plan.py",
        present="    if work.requests >= candidate.max_requests:\n",
        absent="    if work.requests >= candidate.max_requests + 1e9:\n",
        test=f"{TESTS}/test_capacity_choice.py"
        "::test_endpoint_beyond_its_learned_limit_gets_less[engine]",
    ),
    Mechanism(
        name="learned limits need two crossings",
        module="capacity/concurrency.py",
        present="CROSSINGS = 2\n",
        absent="CROSSINGS = 1\n",
        test=f"{ESTIMATES}/test_concurrency.py::test_one_coincidence_is_no_limit",
    ),
    Mechanism(
        name="learned limits are raised",
        module="capacity/concurrency.py",
        present="RAISE_SECONDS = 5.0\n",
        absent="RAISE_SECONDS = 5e9\n",
        test=f"{ESTIMATES}/test_concurrency.py"
        "::test_limit_is_raised_slowly_and_forgotten",
    ),
    Mechanism(
        name="plain services follow learned speeds",
        module="gateway/endpoint_choice.py",
        present="                load = (load + 1.0) * speed.step - 1.0\n",
        absent="",
        test=f"{TESTS}/test_capacity_choice.py"
        "::test_slow_endpoint_loses_most_of_its_work[plain]",
    ),
    Mechanism(
        name="plans follow learned speeds",
        module="gateway/endpoint_choice.py",
        present="            slowdown=speed.step,\n",
        absent="",
        test=f"{TESTS}/test_capacity_choice.py"
        "::test_slow_endpoint_loses_most_of_its_work[engine]",
    ),
    Mechanism(
        name="parts follow learned speeds",
        module="routing/read_cost.py",
        present="    part_ms *= candidate.prefill_slowdown\n",
        absent="",
        test=f"{TESTS}/test_capacity_choice.py"
        "::test_part_on_a_slow_engine_makes_its_streams_late",
    ),
    Mechanism(
        name="the pace of streams is a sample",
        module="gateway/attempts.py",
        present="            self._samples.event(context, attempt)\n",
        absent="            pass\n",
        test=f"{TESTS}/test_capacity_report.py"
        "::test_pace_of_a_played_stream_is_a_sample",
    ),
    Mechanism(
        name="a first token is a sample",
        module="gateway/capacity_samples.py",
        present="            self._speeds.observe_step(endpoint.id, endpoint.run, "
        "sample, now=now)\n\n    def waiting",
        absent="            pass\n\n    def waiting",
        test=f"{TESTS}/test_capacity_samples.py::test_first_token_of_a_slow_engine",
    ),
    Mechanism(
        name="an awaited first token is a sample",
        module="gateway/capacity_samples.py",
        present="        if low >= MIN_WAIT_RATIO:\n",
        absent="        if low < 0.0:\n",
        test=f"{TESTS}/test_capacity_samples.py"
        "::test_awaited_first_token_counts_before_it_comes",
    ),
    Mechanism(
        name="samples follow the load",
        module="gateway/capacity_samples.py",
        present="    pass_ms = figures.pass_ms(streams=work.requests, "
        "context_tokens=work.kv_tokens)\n    if not",
        absent="    pass_ms = figures.pass_ms(streams=1, context_tokens=0)\n    if not",
        test=f"{TESTS}/test_capacity_samples.py::test_loaded_engine_is_not_slow",
    ),
    Mechanism(
        name="known prompts explain long passes",
        module="gateway/capacity_samples.py",
        present="    return pass_ms, min(work.prefill_ms, figures.pass_prefill_ms)\n",
        absent="    return pass_ms, 0.0\n",
        test=f"{TESTS}/test_capacity_samples.py"
        "::test_engine_stopped_by_a_long_prompt_is_not_slow",
    ),
    Mechanism(
        name="a stalled gateway takes no samples",
        module="gateway/capacity_samples.py",
        present="            and not self._stalls.has_stalled(since=since)\n"
        "            and context",
        absent="            and context",
        test=f"{TESTS}/test_capacity_samples.py::test_paused_gateway_takes_no_samples",
    ),
    Mechanism(
        name="a caller that reads slowly gives no samples",
        module="gateway/capacity_samples.py",
        present="            and context.exchange.held_back_until < since\n",
        absent="",
        test=f"{TESTS}/test_capacity_samples.py::test_slow_reader_is_no_slow_endpoint",
    ),
    Mechanism(
        name="round trips are no slowness of engines",
        module="gateway/capacity_samples.py",
        present="        return max(0.0, now - attempt.sent_at - link) * "
        "MS_PER_SECOND\n",
        absent="        return max(0.0, now - attempt.sent_at) * MS_PER_SECOND\n",
        test=f"{TESTS}/test_capacity_samples.py::test_slow_link_is_no_slow_endpoint",
    ),
    Mechanism(
        name="round trips are no slowness of plain services",
        module="gateway/capacity_samples.py",
        present="            max(0.0, now - attempt.sent_at - "
        "self._links.seconds(endpoint.id)),\n",
        absent="            now - attempt.sent_at,\n",
        test=f"{TESTS}/test_capacity_samples.py::test_far_plain_endpoint_is_not_slow",
    ),
    Mechanism(
        name="cold endpoints give no samples",
        module="gateway/capacity_samples.py",
        present="            and not "
        "attempt.choice.endpoint.is_cold(now=self._clock.seconds())\n",
        absent="",
        test=f"{TESTS}/test_capacity_samples.py::test_cold_endpoint_is_not_slow",
    ),
    Mechanism(
        name="response times are samples",
        module="gateway/attempts.py",
        present="        self.send_to_caller(context, head, body)\n"
        "        self._samples.answered(",
        absent="        self.send_to_caller(context, head, body)\n"
        "        (lambda *args, **kw: None)(",
        test=f"{TESTS}/test_capacity_report.py"
        "::test_answers_of_a_played_service_are_samples",
    ),
    Mechanism(
        name="failures are no samples",
        module="gateway/capacity_samples.py",
        present="or context.status not in SUCCESS:",
        absent="or not context.status:",
        test=f"{TESTS}/test_capacity_samples.py::test_failures_are_no_samples",
    ),
    Mechanism(
        name="the usual time is that for the load",
        module="capacity/usual_times.py",
        present="        step = min(BUSY_STEPS, max(0, requests - 1) * BUSY_STEPS "
        "// max(1, slots))\n",
        absent="        step = 0\n",
        test=f"{ESTIMATES}/test_speed.py::test_usual_time_is_that_for_the_load",
    ),
    Mechanism(
        name="a switch turns learned speeds off",
        module="gateway/daemon.py",
        present="            is_on=self._settings.learns_capacity,\n        )\n"
        "        self._queries",
        absent="        )\n        self._queries",
        test=f"{TESTS}/test_capacity_report.py::test_switch_turns_learning_off",
    ),
    Mechanism(
        name="steps of learned speeds are logged",
        module="gateway/daemon.py",
        present="        self._capacity_report.update()\n",
        absent="",
        test=f"{TESTS}/test_capacity_report.py"
        "::test_slow_endpoint_is_logged_exported_and_shown",
    ),
)
