"""Findings: the problems that the validation of published objects reports."""

from dataclasses import dataclass
from enum import Enum


class FindingCode(Enum):
    """The problems that the validation of published objects can report.

    A member's value is the stable code; `remedy` says what operators can do.
    """

    def __new__(cls, value: str, remedy: str):
        member = object.__new__(cls)
        member._value_ = value
        member.remedy = remedy
        return member

    FILE_UNREADABLE = (
        "file_unreadable",
        "correct the syntax; the file must be JSON, with comments allowed",
    )
    KIND_UNKNOWN = ("kind_unknown", "use one of the documented kinds")
    FIELD_INVALID = ("field_invalid", "correct the field as docs/OBJECTS.md says")
    NAME_TWICE = ("name_twice", "give each object of a kind its own name")
    REFERENCE_DANGLING = (
        "reference_dangling",
        "create the object that is referred to, or remove the reference",
    )
    REFERENCE_CYCLIC = ("reference_cyclic", "remove one reference of the cycle")
    OBJECT_UNUSED = ("object_unused", "refer to the object, or delete it")
    VERSION_NOT_HELD = (
        "version_not_held",
        "add the version to an endpoint that has memory for its weights",
    )
    WEIGHTS_TOO_LARGE = (
        "weights_too_large",
        "give the endpoint fewer versions and adapters",
    )
    SHARES_OVER_WHOLE = (
        "shares_over_whole",
        "lower the shares until their sum is at most 1",
    )
    MODEL_UNSERVED = (
        "model_unserved",
        "set a failure domain that serves the model to state 'in', "
        "or set allow_unserved",
    )
    SERVICE_UNSERVED = (
        "service_unserved",
        "set a failure domain that serves the service to state 'in', "
        "or set allow_unserved",
    )
    KEY_SHARED = ("key_shared", "give each workspace its own key")
    ADDRESS_SHARED = ("address_shared", "give each sidecar its own address")


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One problem in a set of objects.

    `file` is empty if the set was not read from files. `object_name` is the kind and
    the name, separated by a slash.
    """

    code: FindingCode
    file: str
    object_name: str
    field: str
    detail: str

    @property
    def text(self) -> str:
        """The finding as one line of text for operators."""
        location = ":".join(
            part for part in (self.file, self.object_name, self.field) if part
        )
        return (
            f"{self.code.value}: {location}: {self.detail}. Remedy: {self.code.remedy}."
        )
