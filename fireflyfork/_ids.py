"""Identifiers, each its own type, so that the type checker tells them apart."""

from typing import NewType

RegionName = NewType("RegionName", str)
FailureDomainName = NewType("FailureDomainName", str)
RackName = NewType("RackName", str)
WorkerId = NewType("WorkerId", str)
TargetId = NewType("TargetId", str)
MemberId = NewType("MemberId", str)
"""One run of an entry or planner process. Never reused: a restarted process takes a new one."""
ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
AttemptNumber = NewType("AttemptNumber", int)
"""Counts the runs of one task from 1; the higher number fences the lower."""
PartitionId = NewType("PartitionId", str)
"""One share of a region's targets, written ``region/number``."""
Epoch = NewType("Epoch", int)
"""Counts the changes of the fleet record from 1."""
ConfigurationVersion = NewType("ConfigurationVersion", int)
ChangeId = NewType("ChangeId", str)
"""Unique per attempted change of a stored value, so that a lost answer can be settled."""
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Revision = NewType("Revision", int)
"""The store's version of one key; 0 means that the key is absent."""
LeaseId = NewType("LeaseId", int)
"""A lease of the store; its keys go when it ends."""
ExecutorId = NewType("ExecutorId", str)
MachineId = NewType("MachineId", str)
"""A machine of the platform; executors are its lives, one after the other."""
TaskName = NewType("TaskName", str)
"""Job, occurrence, step and index, joined by dots."""
QueueName = NewType("QueueName", str)
FencingToken = NewType("FencingToken", int)
"""Rises with each change of owner; executors refuse lower ones than they have seen."""
NodeName = NewType("NodeName", str)
