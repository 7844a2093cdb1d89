"""Measures which configuration mistakes each check detects and how often it raises a false alarm.

Run ``python -m bench.configuration_checks [MISTAKES_OF_EACH_KIND]``. The configurations of both
example sites receive seeded ordinary changes. Rules are inferred from the first versions and tested
on later ones.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random

import msgspec

from fireflyfork import Configuration
from fireflyfork.operations import Answers, check, decode, decode_document, generate, unusual_values

from ._configuration_changes import MISTAKES, ORDINARY
from ._inferred_rules import InferredRule, Plain, group_values, infer

SEED = 20260211
LEARNED_CHANGES = 200
TRIED_CHANGES = 400
EXAMPLES = Path(__file__).parents[1] / "examples"

Check = Callable[[Plain, Plain], bool]
"""Takes the current and the proposed configuration and returns whether the proposal is rejected."""


@dataclass(frozen=True, slots=True)
class Change:
    """A proposed configuration and the accepted one that it would replace."""

    before: Plain
    after: Plain
    kind: str


@dataclass(frozen=True, slots=True)
class LearnedHistory:
    """The accepted changes of a site and the rules inferred from the first of them."""

    accepted: tuple[Change, ...]
    rules: tuple[InferredRule, ...]


def main() -> None:
    """Compare the checks on both sites and print the results."""
    count_per_kind = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    caught: Counter[tuple[str, str]] = Counter()
    alarms: Counter[tuple[str, str]] = Counter()
    change_counts: Counter[str] = Counter()
    for number, name in enumerate(("naidu", "kastings")):
        random = Random(SEED + number)
        learned = learn(first_configuration(name), random)
        checks = build_checks(learned)
        print(f"{name}: {len(learned.rules)} rules inferred from {LEARNED_CHANGES} versions, of")
        print(f"  which later versions break {count_wrong_rules(learned)}")
        for later in learned.accepted[LEARNED_CHANGES:]:
            change_counts[later.kind] += 1
            alarms.update((later.kind, label) for label in rejecting_checks(checks, later))
        for mistake in mistaken_changes(learned, count_per_kind, random):
            caught.update((mistake.kind, label) for label in rejecting_checks(checks, mistake))
        labels = list(checks)
    tried = Counter({kind.name: 2 * count_per_kind for kind in MISTAKES})
    report("caught, of mistakes", labels, caught, tried)
    report("false alarms, of ordinary changes", labels, alarms, change_counts)


def first_configuration(name: str) -> Plain:
    """Return the plain form of the configuration generated from an example's answers."""
    text = (EXAMPLES / name / "answers.jsonc").read_text("utf-8")
    answers = decode_document(Answers, text).value
    assert answers is not None
    encoded = msgspec.json.encode(generate(answers).configuration)
    plain: Plain = msgspec.json.decode(encoded)
    return plain


def learn(first: Plain, random: Random) -> LearnedHistory:
    """Apply a series of ordinary changes and infer rules from the first of them."""
    accepted: list[Change] = []
    while len(accepted) < LEARNED_CHANGES + TRIED_CHANGES:
        # Half of the changes start from the first configuration, which keeps values from drifting.
        latest = accepted[-1].after if accepted else first
        base = random.choice([latest, first])
        kind = random.choice(ORDINARY)
        changed = kind.apply_to(base, random)
        # Changes that the written rules reject would never have been accepted.
        if not _breaks_types(changed) and not _breaks_relations(changed):
            accepted.append(Change(base, changed, kind.name))
    rules = infer(group_values(change.after) for change in accepted[:LEARNED_CHANGES])
    return LearnedHistory(tuple(accepted), rules)


def build_checks(learned: LearnedHistory) -> dict[str, Check]:
    """Return the checks to compare, by label."""

    def written(plain: Plain) -> bool:
        return _breaks_types(plain) or _breaks_relations(plain)

    def inferred(plain: Plain) -> bool:
        return breaks_inferred(plain, learned.rules)

    return {
        "types": lambda before, after: _breaks_types(after),
        "types+relations": lambda before, after: written(after),
        "inferred": lambda before, after: inferred(after),
        "types+inferred": lambda before, after: _breaks_types(after) or inferred(after),
        "types+rel.+inferred": lambda before, after: written(after) or inferred(after),
        "types+rel.+unusual": lambda before, after: written(after) or _is_unusual(before, after),
    }


def rejecting_checks(checks: dict[str, Check], change: Change) -> Iterator[str]:
    """Return the labels of the checks that reject a change."""
    return (
        label for label, is_rejected in checks.items() if is_rejected(change.before, change.after)
    )


def mistaken_changes(
    learned: LearnedHistory, count_per_kind: int, random: Random
) -> Iterator[Change]:
    """Yield ``count_per_kind`` changes per kind of mistake, each applied to an accepted configuration."""
    for kind in MISTAKES:
        for _ in range(count_per_kind):
            base = random.choice(learned.accepted[LEARNED_CHANGES:]).after
            yield Change(base, kind.apply_to(base, random), kind.name)


def breaks_inferred(plain: Plain, rules: tuple[InferredRule, ...]) -> bool:
    """Return whether a configuration breaks any of the inferred rules."""
    values = group_values(plain)
    return any(rule.is_broken_by(values) for rule in rules)


def count_wrong_rules(learned: LearnedHistory) -> int:
    """Return the number of wrong rules: those that a later accepted configuration breaks."""
    later = [group_values(change.after) for change in learned.accepted[LEARNED_CHANGES:]]
    return sum(any(rule.is_broken_by(values) for values in later) for rule in learned.rules)


def report(
    title: str,
    labels: list[str],
    rejected: Counter[tuple[str, str]],
    tried: Counter[str],
) -> None:
    """Print the share of changes that each check rejected, by kind and in total."""
    print(f"\n{title:32}" + "".join(f"{label:>21}" for label in labels))
    for kind, count in tried.items():
        shares = (f"{rejected[kind, label] / count:>21.0%}" for label in labels)
        print(f"{kind:32}" + "".join(shares))
    totals = (sum(rejected[kind, label] for kind in tried) for label in labels)
    shares = (f"{total / tried.total():>21.1%}" for total in totals)
    print(f"{f'all {tried.total()}':32}" + "".join(shares))


def _breaks_types(plain: Plain) -> bool:
    return bool(decode(Configuration, plain).violations)


def _breaks_relations(plain: Plain) -> bool:
    configuration = decode(Configuration, plain).value
    return configuration is not None and bool(check(configuration))


def _is_unusual(before: Plain, after: Plain) -> bool:
    current, proposed = (decode(Configuration, plain).value for plain in (before, after))
    return proposed is not None and bool(unusual_values(current, proposed))


if __name__ == "__main__":
    main()
