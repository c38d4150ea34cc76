"""The catalogue of log events.

A test checks that `docs/LOG_EVENTS.md` lists the same events.
"""

from enum import Enum


class LogEvent(Enum):
    """The events that processes log.

    A member's value is the stable number of the event. `level` is its log level,
    and `meaning` describes it for operators. `is_reserved` is true for the last record
    of a request, for the steps of a stop and for the number of lines that were dropped:
    without them what became of a request cannot be told.
    """

    def __new__(cls, number: int, level: str, meaning: str):
        member = object.__new__(cls)
        member._value_ = number
        member.level = level
        member.meaning = meaning
        return member

    @property
    def is_last_record(self) -> bool:
        """Whether an event says how a request ended."""
        return self in LAST_RECORD_EVENTS

    @property
    def is_reserved(self) -> bool:
        """Whether the event's lines may use the reserve of a bounded output."""
        return self.is_last_record or self in RESERVED_EVENTS

    PROCESS_STARTED = (100, "info", "The process started to listen on its addresses")
    PROCESS_READY = (101, "info", "The process has a set in force and accepts requests")
    PROCESS_PAUSED = (102, "warning", "The process or its VM was paused for a while")
    START_CANCELLED = (
        103,
        "info",
        "A signal ended the process before it listened on its addresses",
    )
    DRAIN_STARTED = (110, "info", "New work is refused; running work may finish")
    DRAIN_FINISHED = (111, "info", "No work is running any more; the process exits")
    DRAIN_CUT_SHORT = (112, "warning", "A second interrupt stopped the process at once")
    DRAIN_TIMED_OUT = (
        113,
        "warning",
        "The drain time passed while work was still running",
    )
    LISTENER_UNFILTERED = (
        114,
        "warning",
        "The kernel refused the filter with which a listener closes; a caller that "
        "connects at that moment may be reset",
    )
    LISTENER_OPENED = (
        115,
        "info",
        "The listener for callers is open, since before the imports if no peer served",
    )
    DRAIN_CONTINUED = (
        116,
        "info",
        "A planned stop reached its next step; what was still open then",
    )
    SETTINGS_RELOADED = (120, "info", "The settings file was read again")
    SETTINGS_REFUSED = (121, "error", "A changed settings file was refused")
    SETTINGS_KEPT = (
        122,
        "info",
        "A hangup signal changed nothing: the settings are read at the start alone",
    )
    LOG_LINES_DROPPED = (
        130,
        "warning",
        "Log lines were dropped to limit the log volume",
    )
    SET_IN_FORCE = (200, "info", "A published set was checked and is in force")
    SET_REFUSED = (
        201,
        "error",
        "A published set was refused; the last one stays in force",
    )
    SET_PART_CORRUPT = (202, "warning", "A part of a set did not match its digest")
    PLATFORM_UNREACHABLE = (210, "warning", "A read of the platform failed")
    PLATFORM_REACHABLE = (211, "info", "Reads of the platform work again")
    READER_DUTY_CHANGED = (
        212,
        "info",
        "The process started or stopped watching the platform",
    )
    COPY_TAKEN = (213, "info", "Published items were copied from a peer")
    ITEMS_LISTED = (214, "info", "Published items were listed from the platform")
    HISTORY_LOST = (
        215,
        "info",
        "The platform no longer has all changes; items are listed again",
    )
    DOMAINS_OUT = (
        216,
        "info",
        "The list of failure domains taken out of service changed",
    )
    STORE_RESTORED = (
        217,
        "warning",
        "The platform came back from an older copy; what it lost is kept for a while",
    )
    LOST_WRITES_EXPIRED = (
        218,
        "warning",
        "What the platform had lost was not written again in time and is dropped",
    )
    VM_UNREADABLE = (
        219,
        "warning",
        "The number of entries in the VM list that name no VM changed",
    )
    LINK_OPENED = (300, "info", "A link to another process opened")
    LINK_CLOSED = (301, "info", "A link to another process closed")
    ENDPOINT_STANDING_CHANGED = (310, "info", "The standing of an endpoint changed")
    ENDPOINT_LIMIT_STATED = (
        311,
        "info",
        "An endpoint stated a limit on its requests, changed it, or ended it",
    )
    ENDPOINT_REST_STATED = (
        312,
        "info",
        "An endpoint asked this gateway to send it nothing for a while",
    )
    ENDPOINT_LEAVING_STATED = (
        313,
        "info",
        "An endpoint said in an answer that it leaves",
    )
    ENDPOINT_WITHDRAWN = (
        314,
        "info",
        "A request was not written, as its endpoint leaves or rests since its choice",
    )
    NO_ENDPOINT_FREE = (
        315,
        "info",
        "A request found no endpoint; how many rest, leave or are limited",
    )
    ENDPOINT_SPEED_CHANGED = (
        316,
        "info",
        "The estimated speed of an endpoint, or its learned limit, changed by a step",
    )
    PEER_HEARD = (
        320,
        "info",
        "Another entry reported for the first time, or after a silence",
    )
    PEER_LOST = (321, "info", "Another entry has sent no report for too long")
    PEER_UNREACHABLE = (
        322,
        "warning",
        "A message to another entry could not be delivered",
    )
    PEER_REPORT_MALFORMED = (
        323,
        "warning",
        "A report from another process could not be read",
    )
    PEERS_DOUBTED = (
        324,
        "warning",
        "A copy from a peer failed; no peer is relied on until a copy from it succeeds",
    )
    CALLER_REFUSED = (
        404,
        "warning",
        "A caller's request was malformed, too large or too slow, and was not read",
    )
    CLIENTS_REFUSED = (
        405,
        "warning",
        "Callers were refused or disconnected for lack of memory or connections; how "
        "many since the last such line",
    )
    CLIENT_MEMORY_MISCOUNTED = (
        406,
        "error",
        "The count of the memory that callers hold was wrong and was corrected",
    )
    CLIENT_MEMORY_AT_FLOOR = (
        407,
        "warning",
        "The memory in the settings is implausible or below what the process needs; "
        "the least limit for callers is in force",
    )
    REQUEST_RECEIVED = (400, "info", "A caller's request was read")
    REQUEST_FINISHED = (401, "info", "A caller received a complete answer")
    REQUEST_FAILED = (402, "warning", "A caller received an error")
    CALLER_LEFT = (
        403,
        "info",
        "A caller closed its connection before the answer was complete",
    )
    ATTEMPT_STARTED = (410, "info", "A request was sent to an endpoint")
    ATTEMPT_FAILED = (411, "warning", "An attempt ended without a complete answer")
    ANSWER_SKIPPED = (
        412,
        "warning",
        "An answer was skipped, as it may belong to an earlier request",
    )
    ATTEMPT_SILENT = (
        413,
        "info",
        "An endpoint is silent for too long; whether another attempt starts beside it",
    )
    SILENCE_ENDED = (414, "info", "A silent endpoint goes on with its answer")
    ENDED_RUN_ABORTED = (
        415,
        "warning",
        "Attempts were ended, as their endpoint has started again since",
    )
    STREAMS_STOPPED = (
        416,
        "warning",
        "A part of a prompt lets callers wait on its engines until they leave",
    )
    PROMPT_QUEUED = (420, "debug", "A sidecar admitted a prompt")
    PROMPT_REFUSED = (421, "info", "A sidecar refused a prompt without running it")
    PROMPT_STARTED = (422, "info", "A prompt was sent to the engine")
    PROMPT_FINISHED = (423, "info", "The engine finished a prompt")
    PROMPT_FAILED = (
        424,
        "warning",
        "The engine stopped before it had finished a prompt",
    )
    PROMPT_CANCELLED = (425, "info", "A prompt was cancelled")
    CALL_STARTED = (430, "info", "A call was sent to the plain service")
    CALL_FINISHED = (431, "info", "The plain service answered a call")
    CALL_UNKNOWN = (
        432,
        "error",
        "The plain service gave no complete answer; the outcome is unknown",
    )
    CALL_REFUSED = (433, "info", "A call was refused by the ledger")
    CALL_REPLAYED = (434, "info", "A stored answer was sent again")
    ENGINE_LOST = (500, "error", "The engine cannot be reached")
    ENGINE_RESTARTED = (501, "warning", "The engine restarted and is cold")
    ENGINE_FOUND = (502, "info", "The engine answered for the first time")
    MEMORY_FREED = (
        510,
        "warning",
        "The audit freed engine memory that no request owns",
    )
    MEMORY_ORDERED = (
        511,
        "info",
        "An engine answered an order to reserve or release memory",
    )
    MEMORY_ORDER_FAILED = (
        512,
        "warning",
        "An order to reserve or release memory got no answer",
    )
    PROMPT_SUSPECTED = (
        520,
        "warning",
        "A request was running when its engine or endpoint died",
    )
    PROMPT_QUARANTINED = (
        521,
        "error",
        "A prompt was refused because two engines died while they ran it",
    )
    PART_QUARANTINED = (
        522,
        "error",
        "Prompts with a part are refused because engines crashed under it",
    )
    PART_RELEASED = (
        523,
        "info",
        "Prompts with a part are served again",
    )
    INTERNAL_FAULT = (900, "error", "An internal error occurred in the process")


LAST_RECORD_EVENTS = frozenset(
    {LogEvent.REQUEST_FINISHED, LogEvent.REQUEST_FAILED, LogEvent.CALLER_LEFT}
)
"""Each admitted request has one line of one of these."""
RESERVED_EVENTS = frozenset(
    {
        LogEvent.LOG_LINES_DROPPED,
        LogEvent.DRAIN_STARTED,
        LogEvent.DRAIN_CONTINUED,
        LogEvent.DRAIN_TIMED_OUT,
        LogEvent.DRAIN_FINISHED,
    }
)
