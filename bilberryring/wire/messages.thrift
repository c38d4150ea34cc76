// Messages between the processes of bilberryring.
//
// Every frame on a link is one Envelope in the compact protocol. Exactly one
// field of an Envelope is set. Times are in microseconds on the clock of the
// process that receives them, unless the field's name says "sender".

namespace py bilberryring.wire.gen

struct Hello {
  1: string process,
  2: string role,
  3: string failure_domain,
  4: string incarnation,
}

struct SetNotice {
  1: i64 number,
  2: string digest,
}

struct SetQuery {
  1: bool manifest,
  2: list<string> part_digests,
}

struct SetAnswer {
  1: binary manifest,
  2: map<string, binary> parts,
}

struct Heartbeat {
  1: i64 sender_clock,
  2: string state,
  3: list<i64> backlog_tokens,
  4: i32 running,
  5: i64 free_kv_tokens,
  6: i32 allowance,
  7: i64 set_number,
  8: i64 prefill_rate,
  9: i64 kv_tokens,
}

struct Beat {
  1: i64 sender_clock,
}

struct RunPrompt {
  1: i64 attempt,
  2: string request,
  3: string workspace,
  4: string model,
  5: string version,
  6: string adapter,
  7: string priority,
  8: i64 prompt_tokens,
  9: i32 max_tokens,
  10: i32 delivered_tokens,
  11: i64 deadline,
  12: string fingerprint,
  13: i32 prompt_parts,
  14: i64 queue_deadline,
  15: bool isolated,
  16: bool hold,
  17: list<string> span_members,
}

struct PromptPart {
  1: i64 attempt,
  2: i32 index,
  3: binary text,
}

struct Cancel {
  1: i64 attempt,
}

struct CallService {
  1: i64 attempt,
  2: string request,
  3: string workspace,
  4: string service_name,
  5: string ticket,
  6: string method,
  7: string path,
  8: string content_type,
  9: binary body,
  10: i64 deadline,
}

struct Tokens {
  1: i64 attempt,
  2: i32 first_index,
  3: list<string> texts,
}

struct TokenBatch {
  1: list<Tokens> items,
}

struct Finished {
  1: i64 attempt,
  2: i32 token_count,
  3: string reason,
}

struct Refused {
  1: i64 attempt,
  2: string code,
  3: string detail,
  4: string outcome,
  5: i64 retry_after,
}

struct ServiceAnswer {
  1: i64 attempt,
  2: i32 status,
  3: string content_type,
  4: binary body,
  5: bool replayed,
  // Absent if the body is not encoded; sidecars of earlier versions never send it.
  6: optional string content_encoding,
}

struct Held {
  1: i64 attempt,
}

struct EngineDeath {
  1: string death,
  2: list<string> fingerprints,
  3: list<string> parts,
  4: i32 age_ms,
  // Whether the prompts were suspects when they were sent to the engine.
  5: optional bool were_suspects,
  // Milliseconds from the sending of the prompts to the crash, if they may have caused
  // it; earlier versions send none.
  6: optional i32 sent_before_ms,
}

struct PartReport {
  1: string part,
  2: i32 crashes,
  3: i32 crashed_ms,
  4: optional i32 served_ms,
}

struct CrashReport {
  1: list<EngineDeath> deaths,
  2: list<PartReport> parts,
}

struct PromptCleared {
  1: string fingerprint,
  2: list<string> deaths,
}

// Asks a sidecar to answer once a suspected prompt of `request` may run alone, as far
// as it knows. A sidecar of an earlier version does not answer.
struct SuspectQuery {
  1: i64 query,
  2: string fingerprint,
  3: string request,
}

struct SuspectAnswer {
  1: i64 query,
}

struct DecodeGroupReport {
  1: i32 gap_ms,
  2: i32 count,
  3: i32 value_hundredths,
}

struct PrefillStreamReport {
  1: i32 gap_ms,
  2: i32 value_hundredths,
  3: i32 due_ms,
}

struct WorkReport {
  1: string endpoint,
  2: i32 requests,
  3: i32 prefill_ms,
  4: i32 prefill_elapsed_ms,
  5: i64 kv_tokens,
  6: list<DecodeGroupReport> decode_groups,
  7: list<PrefillStreamReport> prefill_streams,
  // The sender's own estimate of the endpoint's speed, in hundredths of the predicted
  // times, and a tag of the run. Gateways of earlier versions send and read neither.
  8: optional i32 slowdown_hundredths,
  9: optional i32 run_tag,
}

struct CopyRevision {
  1: string prefix,
  2: i64 revision,
  // Gateways of earlier versions send no eras; their revisions cannot be compared.
  3: optional i64 era,
  4: optional i64 lost_era,
  5: optional i64 lost_revision,
  // The number of items, in complete reports; none while later changes are held.
  6: optional i32 n_items,
}

struct Member {
  1: binary address,
  2: i32 silent_ms,
}

struct GatewayReport {
  1: string incarnation,
  2: i32 sequence,
  3: bool is_complete,
  4: list<WorkReport> work,
  5: list<CopyRevision> revisions,
  6: list<Member> members,
  7: list<EngineDeath> deaths,
  8: i32 store_access,
  9: string failure_domain,
  10: list<PartReport> parts,
  // The seconds for which the sender knows of crashes, in complete reports; earlier
  // versions send none.
  11: optional i32 crash_memory_s,
}

struct CopyItem {
  1: string key,
  2: i64 revision,
  3: optional binary value,
  // The value in place of field 3, for a query that takes compressed values.
  4: optional binary compressed_value,
}

struct LostWrite {
  1: string key,
  2: i64 era,
  3: i64 revision,
  4: optional binary value,
  5: optional CopyItem removed,
  // Without it there is no limit.
  6: optional i32 left_ms,
}

struct CopyQuery {
  1: string prefix,
  2: i64 revision,
  3: optional i64 era,
  // Gateways of earlier versions take no compressed values.
  4: optional bool takes_compressed,
}

struct CopyAnswer {
  1: string prefix,
  2: i64 revision,
  3: list<CopyItem> items,
  4: bool is_delta,
  5: optional i64 era,
  6: optional i64 lost_era,
  7: optional i64 lost_revision,
  8: list<LostWrite> lost_writes,
}

struct Envelope {
  1: optional Hello hello,
  2: optional Heartbeat heartbeat,
  3: optional SetNotice set_notice,
  4: optional SetQuery set_query,
  5: optional SetAnswer set_answer,
  6: optional RunPrompt run_prompt,
  7: optional PromptPart prompt_part,
  8: optional Cancel cancel,
  9: optional CallService call_service,
  10: optional TokenBatch token_batch,
  11: optional Finished finished,
  12: optional Refused refused,
  13: optional ServiceAnswer service_answer,
  14: optional EngineDeath engine_death,
  15: optional Beat beat,
  16: optional Held held,
  17: optional PromptCleared prompt_cleared,
  // 18 was a report of an earlier version, which decoders skip.
  19: optional CopyQuery copy_query,
  20: optional CopyAnswer copy_answer,
  21: optional GatewayReport gateway_report,
  22: optional CrashReport crash_report,
  23: optional SuspectQuery suspect_query,
  24: optional SuspectAnswer suspect_answer,
}
