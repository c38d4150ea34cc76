"""Validation of a configuration before it is published, and its differences.

This package is pure: it takes typed configurations and returns findings and
differences. The platform's adapter decodes the configuration of operators; the names
of its fields are passed in when a finding is printed.
"""

from bilberryring.validation.check import check_configuration
from bilberryring.validation.difference import Difference, compare_configurations
from bilberryring.validation.findings import (
    NO_NAMES,
    Finding,
    FindingCode,
    Location,
    Severity,
    make_finding,
    printable,
)
from bilberryring.validation.listing import (
    ConfigurationListing,
    ListedWorkspace,
    Section,
    UnreadableRoute,
)
from bilberryring.validation.objects import check_objects

__all__ = [
    "ConfigurationListing",
    "Difference",
    "Finding",
    "FindingCode",
    "ListedWorkspace",
    "Location",
    "NO_NAMES",
    "Section",
    "Severity",
    "UnreadableRoute",
    "check_configuration",
    "check_objects",
    "compare_configurations",
    "make_finding",
    "printable",
]
