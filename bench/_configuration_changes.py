"""Seeded changes to a configuration: ordinary changes by operators, and operator mistakes."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from ._inferred_rules import Plain

Edit = Callable[[Any, Random], None]
"""Modifies the plain form (decoded JSON) of a configuration in place."""


@dataclass(frozen=True, slots=True)
class ChangeType:
    """A named kind of change and the function that applies it."""

    name: str
    edit: Edit

    def apply_to(self, plain: Plain, random: Random) -> Plain:
        """Return a changed copy that differs from ``plain``.

        An edit may draw the current value and change nothing, so it is tried up to 20 times.
        """
        for _ in range(20):
            changed: Plain = copy.deepcopy(plain)
            self.edit(changed, random)
            if json.dumps(changed) != json.dumps(plain):
                return changed
        raise AssertionError(
            f"change '{self.name}' left the configuration unmodified in 20 attempts"
        )


def _add_target(plain: Any, random: Random) -> None:
    """Add an executor to the failure domain of an existing one, at the next free port."""
    model = random.choice(plain["targets"])
    same = [each for each in plain["targets"] if each["failure_domain"] == model["failure_domain"]]
    number = max(int(each["target_id"].rpartition("-")[2]) for each in same) + 1
    stem = model["target_id"].rpartition("-")[0]
    port = max(int(each["address"].rpartition(":")[2]) for each in plain["targets"]) + 1
    address = f"{model['address'].rpartition(':')[0]}:{port}"
    plain["targets"].append(model | {"target_id": f"{stem}-{number}", "address": address})


def _remove_target(plain: Any, random: Random) -> None:
    domains = [each["failure_domain"] for each in plain["targets"]]
    spare = [n for n, domain in enumerate(domains) if domains.count(domain) > 2]
    if spare:
        plain["targets"].pop(random.choice(spare))


def _scale_field(
    record: Any, name: str, random: Random, min_factor: float = 0.7, max_factor: float = 1.4
) -> None:
    value = record[name] * random.uniform(min_factor, max_factor)
    record[name] = round(value) if isinstance(record[name], int) else round(value, 3)


def _tune_service(plain: Any, random: Random) -> None:
    service = random.choice(plain["services"])
    field = random.choice(
        ["longest_queue", "longest_run_seconds", "latency_objective_milliseconds"]
    )
    _scale_field(service, field, random, 0.85, 1.15)


def _tune_timeouts(plain: Any, random: Random) -> None:
    service = random.choice(plain["services"])
    _scale_field(service, "default_timeout_seconds", random, 0.85, 1.15)
    _scale_field(service, "longest_timeout_seconds", random, 1.0, 1.1)


def _tune_quota(plain: Any, random: Random) -> None:
    team = random.choice([team for team in plain["teams"] if team["quota"]["memory"]])
    share = random.uniform(0.85, 1.1)
    for name in ("millicores", "memory"):
        team["quota"][name] = round(team["quota"][name] * share)


def _tune_spill(plain: Any, random: Random) -> None:
    plain["links"][0]["spill_share"] = random.choice([0.1, 0.15, 0.2, 0.25, 0.3])


def _tune_weights(plain: Any, random: Random) -> None:
    _scale_field(plain["weights"], random.choice(sorted(plain["weights"])), random)


def _new_slots_everywhere(plain: Any, random: Random) -> None:
    slots = random.choice([4, 6, 8, 10, 12, 16])
    for target in plain["targets"]:
        target["slots"] = slots


def _add_worker(plain: Any, random: Random) -> None:
    group = random.choice(plain["workers"])
    group["count"] += 1


def _move_domain(plain: Any, random: Random) -> None:
    """Give all executors of a failure domain new addresses in another network."""
    domain = random.choice(plain["targets"])["failure_domain"]
    network = random.randrange(1, 250)
    for number, target in enumerate(plain["targets"]):
        if target["failure_domain"] == domain:
            target["address"] = f"10.{network}.0.{number + 1}:8080"


def _add_team(plain: Any, random: Random) -> None:
    name = f"team-{random.randrange(10_000)}"
    quota = {"millicores": 4000, "memory": 8 * 10**9, "accelerators": 0}
    tolerance = random.choice(["throttle", "evict"])
    plain["teams"].append({"name": name, "quota": quota, "tolerance": tolerance, "urgent": False})


def _larger_executor(plain: Any, random: Random) -> None:
    """Add an executor with twice the slots of an existing one."""
    _add_target(plain, random)
    plain["targets"][-1]["slots"] *= 2


def _wider_link(plain: Any, random: Random) -> None:
    """Switch the first link between its narrow bandwidth and ten times that."""
    narrow = 1_875_000
    link = plain["links"][0]
    link["bytes_per_second"] = narrow * 10 if link["bytes_per_second"] == narrow else narrow


ORDINARY = (
    ChangeType("add a target", _add_target),
    ChangeType("remove a target", _remove_target),
    ChangeType("tune a service", _tune_service),
    ChangeType("tune timeouts", _tune_timeouts),
    ChangeType("tune a quota", _tune_quota),
    ChangeType("tune spill", _tune_spill),
    ChangeType("tune weights", _tune_weights),
    ChangeType("new slots everywhere", _new_slots_everywhere),
    ChangeType("add a worker", _add_worker),
    ChangeType("move a failure domain", _move_domain),
    ChangeType("add a team", _add_team),
    ChangeType("a larger executor", _larger_executor),
    ChangeType("a wider link", _wider_link),
)

_SERVICE_NUMBERS = (
    "longest_run_seconds",
    "default_timeout_seconds",
    "longest_timeout_seconds",
    "latency_objective_milliseconds",
    "longest_queue",
)


def _wrong_type(plain: Any, random: Random) -> None:
    record, name = random.choice(_positive_numbers(plain))
    record[name] = random.choice([str(record[name]), None, [record[name]], f"{record[name]}ms"])


def _misspelt_field(plain: Any, random: Random) -> None:
    record = random.choice([*plain["services"], *plain["targets"], *plain["links"]])
    name = random.choice([each for each in record if len(each) > 4])
    place = random.randrange(1, len(name) - 1)
    record[name[:place] + name[place + 1 :]] = record.pop(name)


def _missing_field(plain: Any, random: Random) -> None:
    target = random.choice(plain["targets"])
    target.pop(random.choice(sorted(target)))


def _negative(plain: Any, random: Random) -> None:
    record, name = random.choice(_positive_numbers(plain))
    record[name] = -record[name] or -1


def _zero(plain: Any, random: Random) -> None:
    record = random.choice([*plain["targets"], *plain["services"]])
    name = random.choice(
        ["slots", "connections"] if "slots" in record else list(_SERVICE_NUMBERS[:4])
    )
    record[name] = 0


def _unit_slip(plain: Any, random: Random) -> None:
    """Write a duration in milliseconds instead of seconds, or the reverse."""
    service = random.choice(plain["services"])
    name = random.choice(_SERVICE_NUMBERS[:4])
    service[name] *= random.choice([1000.0, 0.001])


def _link_unit_slip(plain: Any, random: Random) -> None:
    """Write a link field in seconds for milliseconds, bits for bytes or per cent for a share."""
    link = random.choice(plain["links"])
    name, factor = random.choice(
        [("one_way_milliseconds", 0.001), ("bytes_per_second", 8), ("spill_share", 100.0)]
    )
    link[name] *= factor


def _memory_unit_slip(plain: Any, random: Random) -> None:
    """Write a memory quota in gigabytes instead of bytes, or multiply it by 1024."""
    team = random.choice([team for team in plain["teams"] if team["quota"]["memory"]])
    team["quota"]["memory"] = random.choice(
        [team["quota"]["memory"] // 10**9, team["quota"]["memory"] * 1024]
    )


def _dangling_reference(plain: Any, random: Random) -> None:
    record, name = random.choice(
        [(each, "team") for each in plain["services"]]
        + [(each, name) for each in plain["targets"][:2] for name in ("service", "region")]
        + [(each, "failure_domain") for each in (plain["targets"][0], plain["workers"][0])]
    )
    record[name] = record[name][:-1] + random.choice("xyz")


def _duplicate_id(plain: Any, random: Random) -> None:
    one, other = random.sample(plain["targets"], 2)
    one["target_id"] = other["target_id"]


def _duplicate_address(plain: Any, random: Random) -> None:
    one, other = random.sample(plain["targets"], 2)
    one["address"] = other["address"]


def _bad_address(plain: Any, random: Random) -> None:
    target = random.choice(plain["targets"])
    target["address"] = random.choice(
        ["desk.example:80", "10.0.0.1", "0.0.0.0:80", "10.0.0.256:80", "10.0.0.1:0", ""]
    )


def _swapped_timeouts(plain: Any, random: Random) -> None:
    service = random.choice(plain["services"])
    names = ("default_timeout_seconds", "longest_timeout_seconds")
    service[names[0]], service[names[1]] = service[names[1]], service[names[0]]


def _swapped_slots(plain: Any, random: Random) -> None:
    target = random.choice(plain["targets"])
    target["slots"], target["connections"] = target["connections"], target["slots"]


def _wrong_domain(plain: Any, random: Random) -> None:
    """Assign a target to a failure domain of another region."""
    target = random.choice(plain["targets"])
    far = [each for each in plain["regions"] if each["name"] != target["region"]]
    target["failure_domain"] = far[0]["failure_domains"][0]


def _huge_quota(plain: Any, random: Random) -> None:
    team = random.choice([team for team in plain["teams"] if team["quota"]["memory"]])
    team["quota"]["millicores"] *= random.choice([5, 10, 100])


def _quota_without_memory(plain: Any, random: Random) -> None:
    team = random.choice([team for team in plain["teams"] if team["quota"]["memory"]])
    team["quota"][random.choice(["memory", "millicores"])] = 0


def _lost_link(plain: Any, random: Random) -> None:
    plain["links"].pop(random.randrange(len(plain["links"])))


def _one_domain_left(plain: Any, random: Random) -> None:
    kept = random.choice(plain["targets"])["failure_domain"]
    plain["targets"] = [each for each in plain["targets"] if each["failure_domain"] == kept]


def _replicas_too_large(plain: Any, random: Random) -> None:
    service = random.choice(plain["services"])
    service["replicas"] = 4
    service["resources"] = {"millicores": 128_000, "memory": 10**9, "accelerators": 0}


def _inconsistent_slots(plain: Any, random: Random) -> None:
    """Give one executor a slot count that differs slightly from the others."""
    target = random.choice(plain["targets"])
    target["slots"] += random.choice([-1, 1, 2])


def _wrong_port(plain: Any, random: Random) -> None:
    """Change an address to another valid one, which no rule can detect."""
    target = random.choice(plain["targets"])
    host, _, port = target["address"].rpartition(":")
    target["address"] = f"{host}:{int(port) + 4000}"


def _excessive_queue(plain: Any, random: Random) -> None:
    service = random.choice(plain["services"])
    service["longest_queue"] *= 100


MISTAKES = (
    ChangeType("wrong type", _wrong_type),
    ChangeType("misspelt field", _misspelt_field),
    ChangeType("missing field", _missing_field),
    ChangeType("negative number", _negative),
    ChangeType("zero", _zero),
    ChangeType("seconds and milliseconds", _unit_slip),
    ChangeType("link's units", _link_unit_slip),
    ChangeType("memory's units", _memory_unit_slip),
    ChangeType("dangling reference", _dangling_reference),
    ChangeType("duplicate id", _duplicate_id),
    ChangeType("duplicate address", _duplicate_address),
    ChangeType("bad address", _bad_address),
    ChangeType("swapped timeouts", _swapped_timeouts),
    ChangeType("swapped slots and connections", _swapped_slots),
    ChangeType("domain of the other region", _wrong_domain),
    ChangeType("quota beyond the workers", _huge_quota),
    ChangeType("quota without memory or cores", _quota_without_memory),
    ChangeType("lost link", _lost_link),
    ChangeType("all targets in one domain", _one_domain_left),
    ChangeType("replica that fits nowhere", _replicas_too_large),
    ChangeType("queue 100 times as long", _excessive_queue),
    ChangeType("one odd target", _inconsistent_slots),
    ChangeType("valid but wrong port", _wrong_port),
)


def _positive_numbers(plain: Any) -> list[tuple[Any, str]]:
    """Return the records and field names of the numbers that must be positive."""
    places = [(each, name) for each in plain["services"] for name in _SERVICE_NUMBERS]
    places += [(each, name) for each in plain["targets"] for name in ("slots", "connections")]
    places += [(each, name) for each in plain["links"] for name in ("bytes_per_second",)]
    return places
