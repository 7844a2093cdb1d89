"""Settings files of the demo: ``python -m fireflyfork_standins.demo_settings FOLDER``."""

from __future__ import annotations

import json
import sys
from pathlib import Path

STORE = "127.0.0.1:9001"
INSTANCES = "127.0.0.1:9002"
PLATFORM = "127.0.0.1:9003"

ENTRIES = (
    ("suva-1", "viti", "suva", 9011),
    ("nadi-1", "viti", "nadi", 9021),
    ("labasa-1", "vanua", "labasa", 9031),
    ("labasa-2", "vanua", "labasa", 9041),
)
"""Name, region, failure domain and first port of each entry. Three consecutive ports are used: for
callers, peers and operators."""

PLANNERS = (("suva-1", "viti", "suva", 9051), ("nadi-1", "viti", "nadi", 9052))

RACKS = (("viti", "suva", 9101), ("viti", "nadi", 9111), ("vanua", "labasa", 9121))
"""Region, failure domain and first executor port of each rack. A rack has eight workers with one
executor each."""

EXECUTORS_PER_RACK = 8
GIB = 1 << 30


def entry_settings(name: str, region: str, failure_domain: str, port: int) -> dict[str, object]:
    """Return the settings of one entry."""
    return {
        "name": f"entry-{name}",
        "region": region,
        "failure_domain": failure_domain,
        "caller_address": f"127.0.0.1:{port}",
        "peer_address": f"127.0.0.1:{port + 1}",
        "operator_address": f"127.0.0.1:{port + 2}",
        "store_address": STORE,
        "instance_list_address": INSTANCES,
        "peer_key": "only-for-the-demo-on-loopback",
        "drain_notice_seconds": 0.2,
    }


def planner_settings(name: str, region: str, failure_domain: str, port: int) -> dict[str, object]:
    """Return the settings of one planner."""
    return {
        "name": f"planner-{name}",
        "region": region,
        "failure_domain": failure_domain,
        "operator_address": f"127.0.0.1:{port}",
        "peer_address": f"127.0.0.1:{port + 10}",
        "store_address": STORE,
        "platform_address": PLATFORM,
        "regions": ["viti", "vanua"],
        "peer_key": "only-for-the-demo-on-loopback",
    }


def executor_settings() -> dict[str, object]:
    """Return the settings of the process that stands in for all executors."""
    ports = (first + i for _, _, first in RACKS for i in range(EXECUTORS_PER_RACK))
    return {
        "addresses": [f"127.0.0.1:{port}" for port in ports],
        "slots": 8,
        "run_seconds": 0.03,
    }


def platform_settings() -> dict[str, object]:
    """Return the settings of the stand-in for the worker platform."""
    groups = [
        {
            "rack": f"{failure_domain}-rack",
            "region": region,
            "failure_domain": failure_domain,
            "count": EXECUTORS_PER_RACK,
            "capacity": {"millicores": 16_000, "memory": 60 * GIB},
        }
        for region, failure_domain, _ in RACKS
    ]
    return {"listen": PLATFORM, "groups": groups, "report_interval_seconds": 0.5}


def main() -> None:
    """Write all settings files into the folder given on the command line."""
    folder = Path(sys.argv[1])
    files = {
        "executors": executor_settings(),
        "platform": platform_settings(),
        **{f"entry-{entry[0]}": entry_settings(*entry) for entry in ENTRIES},
        **{f"planner-{planner[0]}": planner_settings(*planner) for planner in PLANNERS},
    }
    for name, content in files.items():
        text = f"// Settings of {name}, made for the demo.\n{json.dumps(content, indent=2)}\n"
        (folder / f"{name}.jsonc").write_text(text, "utf-8")


if __name__ == "__main__":
    main()
