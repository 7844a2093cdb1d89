"""Identifier types. Each is a distinct type, so the type checker detects mix-ups."""

from typing import NewType

RegionName = NewType("RegionName", str)
FailureDomainName = NewType("FailureDomainName", str)
RackName = NewType("RackName", str)
WorkerId = NewType("WorkerId", str)
TargetId = NewType("TargetId", str)
MemberId = NewType("MemberId", str)
"""Identifies one run of an entry or planner process. A restarted process gets a new id; ids are
never reused."""
ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
AttemptNumber = NewType("AttemptNumber", int)
"""Counts the runs of one task from 1. A run with a higher number fences runs with lower numbers."""
PartitionId = NewType("PartitionId", str)
"""Identifies one partition of a region's targets, written ``region/number``."""
Epoch = NewType("Epoch", int)
"""Version of the fleet record; starts at 1 and increases with each change."""
ConfigurationVersion = NewType("ConfigurationVersion", int)
ChangeId = NewType("ChangeId", str)
"""Unique to each attempted change of a stored value. When the store's answer is lost, the id shows
whether the change took effect."""
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Revision = NewType("Revision", int)
"""The store's version number of one key; 0 means that the key is absent."""
LeaseId = NewType("LeaseId", int)
"""Identifies a lease of the store. The keys attached to it are deleted when it ends."""
ExecutorId = NewType("ExecutorId", str)
MachineId = NewType("MachineId", str)
"""Identifies a machine of the platform. Successive executors on it are its incarnations."""
TaskName = NewType("TaskName", str)
"""The job, occurrence, step and index of a task, joined by dots."""
QueueName = NewType("QueueName", str)
FencingToken = NewType("FencingToken", int)
"""Increases with each change of owner. An executor refuses tokens lower than the highest that it
has received."""
CallNumber = NewType("CallNumber", int)
"""Numbers the calls of one process to one server, in the order in which they are sent."""
NodeName = NewType("NodeName", str)
