"""Tests of decoding files that contain errors."""

import unittest

from ... import Configuration
from .. import Answers, decode_document
from .builders_answers import example_text


class DecodingTest(unittest.TestCase):
    """All errors of a file are reported at once, each with its path and a fix."""

    def test_faults_are_named(self) -> None:
        """Guards against typing errors that are reported without their path or the broken rule."""
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
        """Guards against decoding that stops at the first error; fields are read in their order."""
        text = example_text("naidu")
        text = text.replace('"10s"', "10").replace('"slots": 8', '"slots": []')
        text = text.replace('"one_way": "20ms"', '"one_way": "20"')
        decoded = decode_document(Answers, text)
        paths = [violation.path for violation in decoded.violations]
        self.assertEqual(paths, ["services[0].slots", "services[0].timeout", "links[0].one_way"])

    def test_misspelt_field_suggests_the_known_one(self) -> None:
        """Guards against a misspelt optional field that silently gets its default."""
        text = example_text("naidu").replace('"timeout": "10s"', '"timout": "10s"')
        (violation,) = decode_document(Answers, text).violations
        self.assertIn("did you mean timeout", violation.fix)

    def test_not_an_object(self) -> None:
        """Guards against a list, number, null or empty file that is accepted as a configuration."""
        for text in ("[]", "3", "", "null"):
            with self.subTest(text=text):
                self.assertEqual(len(decode_document(Configuration, text).violations), 1)
