"""Generate docs/reference/configuration.md from the types, their docstrings and the rules.

``python scripts/configuration_reference.py`` writes the file. With ``--check`` it writes nothing
and fails if the file is out of date.
"""

from __future__ import annotations

import sys
from pathlib import Path

from fireflyfork.operations import configuration_reference

REFERENCE = Path(__file__).parents[1] / "docs" / "reference" / "configuration.md"


def main() -> None:
    """Write the reference, or check that it is up to date."""
    text = configuration_reference()
    if "--check" in sys.argv:
        sys.exit(0 if REFERENCE.read_text("utf-8") == text else "run this script and commit")
    REFERENCE.parent.mkdir(parents=True, exist_ok=True)
    REFERENCE.write_text(text, "utf-8")


if __name__ == "__main__":
    main()
