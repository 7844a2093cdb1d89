"""The scheduling decisions of the owner of a service, for jobs made of steps of tasks."""

from ..._waits import WaitReason
from ._change_log import ChangeLog
from ._commands import AskAdvice, Command, PaceRun, RunCommand, StartRun, StopRun
from ._executors import ExecutorRegistration, ExecutorRoom, ExecutorState
from ._instance_standing import (
    InstanceStanding,
    bid_delay,
    choose_relays,
    has_stronger,
    needs_relays,
    should_hand_over,
    strength,
)
from ._interference import LearnedFit
from ._job_table import JobTable
from ._load_shedding import Shed
from ._notes import ExecutorGivenUp, JobOver, MoveReason, Note, RunEnded, RunMoved, TaskSent
from ._policy_settings import (
    NO_POLICIES,
    AdmissionSettings,
    ArrangementSettings,
    EstimateSettings,
    FairnessSettings,
    OwnershipSettings,
    PolicySettings,
    PreemptionSettings,
)
from ._progress import JobState, StoredProgress, StoredTask
from ._queues import QueueConfiguration, QueueTable, queue_table
from ._reports import (
    CallOutcome,
    EndedRow,
    EndReason,
    OrderAnswer,
    PollAnswer,
    PollRequest,
    RunningRow,
    StartRequest,
)
from ._run_end_evidence import RunEndEvidence
from ._runs import Job, Run, RunPhase, Task
from ._scheduler import Scheduler, SchedulerSettings
from ._specs import JobSpec, StepSpec, TaskKey, parse_task_name, step_name
from ._stored_forms import (
    StoredFormatError,
    decode_learned,
    decode_progress,
    decode_registrations,
    decode_stored_job,
    decode_upkeep_mark,
    encode_job,
    encode_learned,
    encode_progress,
    encode_registrations,
    encode_upkeep_mark,
)
from ._upkeep import WaveView
from ._upstreams import choose_upstreams
from ._waves import MachineListing, MachineState, UpkeepMark, UpkeepOutcome, UpkeepPhase, UpkeepWave

__all__ = [
    "NO_POLICIES",
    "AdmissionSettings",
    "ArrangementSettings",
    "AskAdvice",
    "CallOutcome",
    "ChangeLog",
    "Command",
    "EndReason",
    "EndedRow",
    "EstimateSettings",
    "ExecutorGivenUp",
    "ExecutorRegistration",
    "ExecutorRoom",
    "ExecutorState",
    "FairnessSettings",
    "InstanceStanding",
    "Job",
    "JobOver",
    "JobSpec",
    "JobState",
    "JobTable",
    "LearnedFit",
    "MachineListing",
    "MachineState",
    "MoveReason",
    "Note",
    "OrderAnswer",
    "OwnershipSettings",
    "PaceRun",
    "PolicySettings",
    "PollAnswer",
    "PollRequest",
    "PreemptionSettings",
    "QueueConfiguration",
    "QueueTable",
    "Run",
    "RunCommand",
    "RunEndEvidence",
    "RunEnded",
    "RunMoved",
    "RunPhase",
    "RunningRow",
    "Scheduler",
    "SchedulerSettings",
    "Shed",
    "StartRequest",
    "StartRun",
    "StepSpec",
    "StopRun",
    "StoredFormatError",
    "StoredProgress",
    "StoredTask",
    "Task",
    "TaskKey",
    "TaskSent",
    "UpkeepMark",
    "UpkeepOutcome",
    "UpkeepPhase",
    "UpkeepWave",
    "WaitReason",
    "WaveView",
    "bid_delay",
    "choose_relays",
    "choose_upstreams",
    "decode_learned",
    "decode_progress",
    "decode_registrations",
    "decode_stored_job",
    "decode_upkeep_mark",
    "encode_job",
    "encode_learned",
    "encode_progress",
    "encode_registrations",
    "encode_upkeep_mark",
    "has_stronger",
    "needs_relays",
    "parse_task_name",
    "queue_table",
    "should_hand_over",
    "step_name",
    "strength",
]
