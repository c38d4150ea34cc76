"""Findings about a set of published objects, with those that are warnings only.

Processes refuse a set with any of the findings of `bilberryring.objects`; these are
errors. A set with warnings is accepted.
"""

from collections.abc import Iterable, Iterator

from bilberryring.objects import Finding as ObjectFinding
from bilberryring.objects import Kind, ObjectSet
from bilberryring.validation.findings import (
    Finding,
    FindingCode,
    Location,
    Severity,
    make_finding,
)


def check_objects(
    objects: ObjectSet, *, findings: Iterable[ObjectFinding] = ()
) -> tuple[Finding, ...]:
    """Return the errors that were found in a set, then the warnings about it."""
    errors = (
        Finding(
            code=finding.code,
            severity=Severity.ERROR,
            location=Location(section=finding.object_name, field=finding.field),
            message=finding.detail,
            file=finding.file,
        )
        for finding in findings
    )
    return (*errors, *_list_warnings(objects))


def _list_warnings(objects: ObjectSet) -> Iterator[Finding]:
    for workspace in objects.workspaces.values():
        if not workspace.key_digests:
            yield make_finding(
                FindingCode.WORKSPACE_WITHOUT_KEYS,
                Location(
                    section=f"{Kind.WORKSPACES.value}/{workspace.name}",
                    field="key_digests",
                ),
                "nobody can call as this workspace",
            )
    for service in objects.services.values():
        if not objects.endpoints_by_service.get(service.name):
            yield make_finding(
                FindingCode.SERVICE_WITHOUT_ENDPOINTS,
                Location(section=f"{Kind.SERVICES.value}/{service.name}"),
                "no endpoint serves it",
            )
