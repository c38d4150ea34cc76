"""Learned speed and concurrency of endpoints, for the choice between them.

Samples compare what an endpoint did with a prediction for the load that it had. This
package takes values in and gives estimates out; it does no I/O and reads no clock.
docs/design/endpoint-capacity.md describes the rules.
"""

from bilberryring.capacity.concurrency import ConcurrencyLimit
from bilberryring.capacity.endpoint_speeds import NOTABLE_LOG, EndpointSpeeds
from bilberryring.capacity.pace import PaceWindow
from bilberryring.capacity.records import (
    NO_SPEEDS,
    USUAL_SPEED,
    ReportedSpeed,
    Speed,
    SpeedChange,
    SpeedTable,
)
from bilberryring.capacity.speed import Interval, SpeedEstimate
from bilberryring.capacity.stalls import TICK_SECONDS, LinkDelays, StallRecord
from bilberryring.capacity.usual_times import UsualTimes

__all__ = [
    "ConcurrencyLimit",
    "EndpointSpeeds",
    "Interval",
    "LinkDelays",
    "NOTABLE_LOG",
    "NO_SPEEDS",
    "PaceWindow",
    "ReportedSpeed",
    "Speed",
    "SpeedChange",
    "SpeedEstimate",
    "SpeedTable",
    "StallRecord",
    "TICK_SECONDS",
    "USUAL_SPEED",
    "UsualTimes",
]
