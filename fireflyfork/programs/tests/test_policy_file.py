"""The file that enables policies."""

import tempfile
import unittest
from pathlib import Path

from ..._errors import SettingsError
from ...decisions.jobs import PolicySettings
from .._policy_file import load_policies


def _load(text: str) -> PolicySettings:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "policies.jsonc"
        path.write_text(text, "utf-8")
        return load_policies(path)


class PolicyFileTest(unittest.TestCase):
    """What the file may hold."""

    def test_every_policy_is_off_by_default(self) -> None:
        self.assertEqual(_load("{}"), PolicySettings())

    def test_comments_and_single_policies(self) -> None:
        policies = _load('{"preemption": {"enabled": true}, /* later: */ "fairness": {}}')
        self.assertTrue(policies.preemption.enabled)
        self.assertFalse(policies.fairness.enabled)

    def test_a_misspelt_setting_is_refused(self) -> None:
        """Guards against an operator who believes that a policy is enabled."""
        with self.assertRaisesRegex(SettingsError, r"\$\.preemption\.enable: no such setting"):
            _load('{"preemption": {"enable": true}}')

    def test_values_out_of_range_and_of_another_type(self) -> None:
        for text, named in (
            ('{"preemption": {"max_stopped_share": 2.0}}', "max_stopped_share"),
            ('{"preemption": {"enabled": "yes"}}', "enabled"),
            ('{"fairness": {"weights": {"q": 0}}}', "weights.q"),
            ("[", "not JSON"),
        ):
            with self.subTest(text), self.assertRaisesRegex(SettingsError, named):
                _load(text)

    def test_a_missing_file(self) -> None:
        with self.assertRaisesRegex(SettingsError, "can't be read"):
            load_policies(Path("/nonexistent/policies.jsonc"))
