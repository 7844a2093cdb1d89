"""Files with mistakes in them."""

import unittest

from ... import Configuration
from .. import Answers, decode_document
from .builders_answers import example_text


class DecodingTest(unittest.TestCase):
    """Every fault of a file is reported at once, with its place and a fix."""

    def test_faults_are_named(self) -> None:
        """An operator mistypes a file; the message must say where, what, and how to mend it."""
        cases = [
            ('"timeout": "10s"', '"timeout": 10', "services[0].timeout", "one of the units"),
            ('"timeout": "10s"', '"timout": "10s"', "services[0].timout", "not a known field"),
            ('"slots": 8', '"slots": "8"', "services[0].slots", "`int`"),
            ('"slots": 8,', "", "services[0].slots", "is required"),
            ('"viti", "failure_domains": ["suva", "nadi"]', '"v", "failure_domains": "suva"',
             "regions[0].failure_domains", "must be a list"),
            ('{"name": "letters"}', '"letters"', "teams[1]", "must be an object"),
            ('"evictions", "through', '"eviction", "through', "matters_most[1]", "enum"),
            ('"slots": 8', '"slots": 8, "slots": 9', "file", "given twice"),
            ('"slots": 8', '"slots" 8', "file", "not JSON with comments"),
        ]  # fmt: skip
        for old, new, path, rule in cases:
            with self.subTest(new=new):
                text = example_text("naidu")
                self.assertIn(old, text)
                decoded = decode_document(Answers, text.replace(old, new, 1))
                self.assertIsNone(decoded.value)
                found = {violation.path: violation.rule for violation in decoded.violations}
                self.assertIn(path, found)
                self.assertIn(rule, found[path])

    def test_all_faults_at_once(self) -> None:
        """Three mistakes are three messages, not three attempts; objects are read field by field."""
        text = example_text("naidu")
        text = text.replace('"10s"', "10").replace('"slots": 8', '"slots": []')
        text = text.replace('"one_way": "20ms"', '"one_way": "20"')
        decoded = decode_document(Answers, text)
        paths = [violation.path for violation in decoded.violations]
        self.assertEqual(paths, ["services[0].slots", "services[0].timeout", "links[0].one_way"])

    def test_misspelt_field_suggests_the_known_one(self) -> None:
        """A misspelt optional field would otherwise be replaced by its default, silently."""
        text = example_text("naidu").replace('"timeout": "10s"', '"timout": "10s"')
        (violation,) = decode_document(Answers, text).violations
        self.assertIn("did you mean timeout", violation.fix)

    def test_not_an_object(self) -> None:
        """A list, a number or nothing at all in place of a configuration."""
        for text in ("[]", "3", "", "null"):
            with self.subTest(text=text):
                self.assertEqual(len(decode_document(Configuration, text).violations), 1)
