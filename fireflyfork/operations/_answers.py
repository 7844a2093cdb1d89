"""The questionnaire's answers: regions, workers, teams, services, batch jobs and tolerances.

Each field carries the question that the interactive questionnaire asks for it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .._contracts import Tolerance
from ._quantities import ByteCount, ByteRate, Cores, Duration, Share


class Measure(Enum):
    """A goal that placement weighs against the others."""

    TAIL_LATENCY = "tail_latency"
    EVICTIONS = "evictions"
    THROUGHPUT = "throughput"


@dataclass(frozen=True, slots=True)
class Question:
    """The text with which the interactive questionnaire asks for one field."""

    prompt: str
    why: str
    """What the answer changes, shown together with the prompt."""


def question_metadata(prompt: str, why: str) -> Mapping[str, Question]:
    """Return the dataclass field metadata that holds a field's question."""
    return {"question": Question(prompt, why)}


@dataclass(frozen=True, slots=True)
class RegionAnswer:
    """A region and its failure domains."""

    name: str = field(
        metadata=question_metadata("Name of the region", "Links join regions, by name.")
    )
    failure_domains: tuple[str, ...] = field(
        metadata=question_metadata(
            "Failure domains in it, separated by spaces",
            "What fails together: replicas and guards are spread over them.",
        )
    )


@dataclass(frozen=True, slots=True)
class LinkAnswer:
    """The link between two regions."""

    between: tuple[str, str] = field(
        metadata=question_metadata(
            "The two regions, separated by a space", "Each pair is joined once."
        )
    )
    one_way: Duration = field(
        metadata=question_metadata(
            "One-way latency", "Timeouts must leave room for the round trip."
        )
    )
    capacity: ByteRate = field(
        metadata=question_metadata(
            "Capacity each way", "All traffic shares it, and it is paid by volume."
        )
    )
    spill: Share = field(
        default_factory=lambda: Share.parse("20%"),
        metadata=question_metadata(
            "Share of it that requests may use when their own region has no room",
            "0% keeps every request in its region; more costs money and may crowd the link.",
        ),
    )


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """Workers of one size in one failure domain."""

    failure_domain: str = field(
        metadata=question_metadata(
            "Failure domain of these workers", "Replicas are spread over domains."
        )
    )
    count: int = field(
        metadata=question_metadata("How many", "Quotas must fit in what they hold together.")
    )
    cores: Cores = field(
        metadata=question_metadata("Cores of one", "What tasks on it may reserve together.")
    )
    memory: ByteCount = field(
        metadata=question_metadata(
            "Memory of one", "It is never promised twice: tasks that outgrow it die."
        )
    )
    per_rack: int = field(
        metadata=question_metadata("How many share a rack", "A rack fails as a whole.")
    )
    accelerators: int = field(
        default=0, metadata=question_metadata("Accelerators in one", "Whole devices, never shared.")
    )


@dataclass(frozen=True, slots=True)
class ExecutorAnswer:
    """Executors of a service in one failure domain, with listed addresses or consecutive ports."""

    failure_domain: str = field(
        metadata=question_metadata(
            "Failure domain of these executors", "Requests prefer their own region."
        )
    )
    count: int = field(metadata=question_metadata("How many", "Each is one target."))
    first_address: str | None = field(
        default=None,
        metadata=question_metadata(
            "Address of the first, IP:port; the others have the ports after it",
            "Names are never resolved. Leave empty to list every address instead.",
        ),
    )
    addresses: tuple[str, ...] = field(
        default=(),
        metadata=question_metadata(
            "All addresses, IP:port, separated by spaces", "Only when they don't count up."
        ),
    )


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A latency-critical service."""

    name: str = field(
        metadata=question_metadata("Name of the service", "Callers put it in the path.")
    )
    team: str = field(
        metadata=question_metadata("Team that owns it", "It must be among the teams.")
    )
    longest_run: Duration = field(
        metadata=question_metadata(
            "After which time has an executor surely ended a request?",
            "A slot whose caller gave up counts as busy for so long. Too short overloads "
            "executors, too long strands slots after a failure.",
        )
    )
    longest_timeout: Duration = field(
        metadata=question_metadata(
            "Longest timeout that a caller may ask for", "Longer ones are refused."
        )
    )
    objective: Duration = field(
        metadata=question_metadata(
            "Within which time must 99 of 100 requests be answered?",
            "Placement throttles or evicts batch work to defend it.",
        )
    )
    slots: int = field(
        metadata=question_metadata(
            "Requests that one executor runs at a time", "It is never given more than that."
        )
    )
    connections: int = field(
        metadata=question_metadata(
            "Connections that one executor accepts", "At least one for each slot."
        )
    )
    executors: tuple[ExecutorAnswer, ...] = field(
        metadata=question_metadata("Executors", "Where requests are sent.")
    )
    timeout: Duration | None = field(
        default=None,
        metadata=question_metadata(
            "Timeout of a request that names none",
            "Leave empty to refuse requests that name no deadline.",
        ),
    )
    queue: int = field(
        default=64,
        metadata=question_metadata(
            "Requests that may wait for a slot at one entry",
            "Beyond it, callers are told at once to come back; a longer queue answers too late.",
        ),
    )
    largest_request: ByteCount = field(
        default_factory=lambda: ByteCount.parse("1MiB"),
        metadata=question_metadata("Longest request body", "A longer one is refused unread."),
    )
    replicas: int = field(
        default=0,
        metadata=question_metadata(
            "Replicas that the planner keeps running",
            "0 when something else starts the executors.",
        ),
    )
    cores: Cores = field(
        default_factory=lambda: Cores.parse("0cores"),
        metadata=question_metadata("Cores of one replica", "Reserved on its worker."),
    )
    memory: ByteCount = field(
        default_factory=lambda: ByteCount.parse("0GB"),
        metadata=question_metadata("Memory of one replica", "Reserved on its worker."),
    )
    accelerators: int = field(
        default=0, metadata=question_metadata("Accelerators of one replica", "Whole devices.")
    )
    when_disturbed: Tolerance = field(
        default=Tolerance.NONE,
        metadata=question_metadata(
            "What may happen to it when work interferes: none, throttle or evict",
            "A service normally tolerates none.",
        ),
    )


@dataclass(frozen=True, slots=True)
class TeamAnswer:
    """A team: its tolerance for interference with its batch tasks and its right to urgent work."""

    name: str = field(
        metadata=question_metadata("Name of the team", "Quotas and jobs refer to it.")
    )
    when_disturbing: Tolerance = field(
        default=Tolerance.EVICT,
        metadata=question_metadata(
            "What may happen to its batch tasks when they slow a service down: none, throttle "
            "or evict",
            "evict allows throttling too. An evicted task resumes from its checkpoint.",
        ),
    )
    urgent: bool = field(
        default=False,
        metadata=question_metadata(
            "May it submit urgent work: yes or no", "Urgent work starts first."
        ),
    )


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """A kind of batch job. A team's quota is the sum of what its jobs may use at once."""

    name: str = field(
        metadata=question_metadata("Name of the batch job", "Only this file uses it.")
    )
    team: str = field(
        metadata=question_metadata("Team that submits it", "It must be among the teams.")
    )
    tasks_at_once: int = field(
        metadata=question_metadata(
            "How many of its tasks may run at once",
            "Times the size of a task it is added to the team's quota.",
        )
    )
    cores: Cores = field(
        metadata=question_metadata("Cores of one task", "A first guess; usage corrects it.")
    )
    memory: ByteCount = field(
        metadata=question_metadata("Memory of one task", "A first guess; usage corrects it.")
    )
    accelerators: int = field(
        default=0, metadata=question_metadata("Accelerators of one task", "Whole devices.")
    )


@dataclass(frozen=True, slots=True)
class Answers:
    """All answers of one organisation."""

    organisation: str = field(
        metadata=question_metadata("Your organisation", "Only a title of the generated file.")
    )
    regions: tuple[RegionAnswer, ...] = field(
        metadata=question_metadata("Regions", "Traffic between regions is slow, narrow and paid.")
    )
    workers: tuple[WorkerAnswer, ...] = field(
        metadata=question_metadata(
            "Workers", "The checks make sure that what you promise fits in them."
        )
    )
    teams: tuple[TeamAnswer, ...] = field(metadata=question_metadata("Teams", "Each has a quota."))
    services: tuple[ServiceAnswer, ...] = field(
        metadata=question_metadata("Latency-critical services", "What callers wait for.")
    )
    links: tuple[LinkAnswer, ...] = field(
        default=(),
        metadata=question_metadata("Links between regions", "None when there is one region."),
    )
    jobs: tuple[JobAnswer, ...] = field(
        default=(), metadata=question_metadata("Batch jobs", "What may wait, but must be done.")
    )
    matters_most: tuple[Measure, ...] = field(
        default=(Measure.TAIL_LATENCY, Measure.EVICTIONS, Measure.THROUGHPUT),
        metadata=question_metadata(
            "What matters most, first to last: tail_latency evictions throughput",
            "Each measure counts twice as much as the one after it.",
        ),
    )
    partitions: int = field(
        default=32,
        metadata=question_metadata(
            "Partitions of each region's targets",
            "Several times the entries you will ever run in a region; it can't change later.",
        ),
    )


def question_of(answer_field: dataclasses.Field[object]) -> Question:
    """Return the question for one field of an answer."""
    question = answer_field.metadata["question"]
    assert isinstance(question, Question)
    return question
