"""Measures the stored size of a configuration and the time to encode, decode and check it.

Run ``python -m bench.configuration_size``. Up to 11,000 targets, the design size, are spread over
16 failure domains in 7 regions.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

import msgspec

from fireflyfork import (
    FailureDomainName,
    RegionName,
    ServiceName,
    TargetContract,
    TargetId,
)
from fireflyfork._contract_codec import decode_contracts, encode_contracts
from fireflyfork.operations import Answers, check, decode_document, differences, generate

EXAMPLE = Path(__file__).parents[1] / "examples" / "naidu" / "answers.jsonc"
SIZES = (24, 330, 1_100, 3_300, 11_000)
CHANGES_PER_DAY = 2_000
SECONDS_PER_DAY = 86_400
REPEATS = 5


def main() -> None:
    """Print a row for each number of targets."""
    answers = decode_document(Answers, EXAMPLE.read_text("utf-8")).value
    assert answers is not None
    base = generate(answers).configuration
    print(
        "targets  plain bytes  stored bytes  bytes/s at 2,000 changes a day  "
        "encode ms  decode ms  check ms  difference ms"
    )
    for size in SIZES:
        configuration = replace(base, targets=tuple(_target(number) for number in range(size)))
        value = encode_contracts(configuration)
        changed = replace(configuration, note="changed", targets=configuration.targets[1:])
        times = (
            _milliseconds(partial(encode_contracts, configuration)),
            _milliseconds(partial(decode_contracts, value)),
            _milliseconds(partial(check, configuration)),
            _milliseconds(partial(differences, configuration, changed)),
        )
        rate = len(value) * CHANGES_PER_DAY / SECONDS_PER_DAY
        print(
            f"{size:7} {len(msgspec.json.encode(configuration)):12} {len(value):13} {rate:31.0f}  "
            + "  ".join(f"{each:9.1f}" for each in times)
        )


def _target(number: int) -> TargetContract:
    domain = number % 16
    return TargetContract(
        TargetId(f"service-{number % 330}-domain-{domain}-{number}"),
        ServiceName(f"service-{number % 330}"),
        f"10.{number % 251}.{number // 251 % 251}.{number * 7 % 250 + 1}:{8000 + number % 97}",
        RegionName(f"region-{domain % 7}"),
        FailureDomainName(f"domain-{domain}"),
        8,
        64,
    )


def _milliseconds(call: Callable[[], object]) -> float:
    """Return the shortest time of several calls, in milliseconds."""
    spent = []
    for _ in range(REPEATS):
        begun = time.perf_counter()
        call()
        spent.append(time.perf_counter() - begun)
    return min(spent) * 1000


if __name__ == "__main__":
    main()
