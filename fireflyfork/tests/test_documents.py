"""Tests of the documentation pages."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


class DocumentsTest(unittest.TestCase):
    """Links and commands in the pages."""

    def test_links_have_targets(self) -> None:
        """Guards against broken links after a page was moved or renamed."""
        pages = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
        self.assertGreater(len(pages), 5)
        for page in pages:
            for link in _LINK.findall(page.read_text("utf-8")):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())

    def test_commands_of_the_pages_exist(self) -> None:
        """Guards against pages that mention a command that was renamed."""
        from ..programs.ctl import commands

        known = set(commands())
        pages = [ROOT / "README.md", *ROOT.glob("docs/*.md")]
        for page in pages:
            text = page.read_text("utf-8")
            for name in re.findall(r"(?:\$ |`)fireflyfork-ctl ([a-z]+)", text):
                with self.subTest(page=page.name, command=name):
                    self.assertIn(name, known)
