"""A scheduler for colocated latency-critical and batch work.

This module is the public API: the types shared by operators' tools and programs. Pure decision
logic is in ``fireflyfork.decisions``, network and other I/O in ``fireflyfork.adapters``, and the
command-line programs in ``fireflyfork.programs``.
"""

from ._contracts import (
    Configuration,
    ServiceContract,
    TargetContract,
    TeamContract,
    Tolerance,
    Weights,
    WorkerGroup,
)
from ._errors import (
    BadRequestError,
    FireflyforkError,
    OverloadedError,
    PeerError,
    PlatformError,
    RequestError,
    SettingsError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    TargetLostError,
)
from ._ids import (
    AttemptNumber,
    ChangeId,
    ConfigurationVersion,
    Epoch,
    FailureDomainName,
    IdempotencyKey,
    JobId,
    MemberId,
    PartitionId,
    RackName,
    RegionName,
    RequestId,
    Revision,
    ServiceName,
    TargetId,
    TaskId,
    TeamName,
    WorkerId,
)
from ._links import Address, RegionLink
from ._machines import Resources, Worker
from ._verdict import Verdict
from ._zones import Region, Zone

__all__ = [
    "Address",
    "AttemptNumber",
    "BadRequestError",
    "ChangeId",
    "Configuration",
    "ConfigurationVersion",
    "Epoch",
    "FailureDomainName",
    "FireflyforkError",
    "IdempotencyKey",
    "JobId",
    "MemberId",
    "OverloadedError",
    "PartitionId",
    "PeerError",
    "PlatformError",
    "RackName",
    "Region",
    "RegionLink",
    "RegionName",
    "RequestError",
    "RequestId",
    "Resources",
    "Revision",
    "ServiceContract",
    "ServiceName",
    "SettingsError",
    "StoreConflictError",
    "StoreError",
    "StoreUnavailableError",
    "TargetContract",
    "TargetId",
    "TargetLostError",
    "TaskId",
    "TeamContract",
    "TeamName",
    "Tolerance",
    "Verdict",
    "Weights",
    "Worker",
    "WorkerGroup",
    "WorkerId",
    "Zone",
]
