"""Tests of planner settings that have the right types but break rules."""

import unittest

from ... import SettingsError
from .._planner_settings import PlannerSettings
from .._settings import decode_settings

GOOD = {
    "name": '"planner-1"',
    "region": '"viti"',
    "failure_domain": '"suva"',
    "operator_address": '"10.0.0.1:9000"',
    "peer_address": '"10.0.0.1:9001"',
    "store_address": '"10.0.0.9:80"',
    "platform_address": '"10.0.0.9:81"',
    "regions": '["viti", "vanua"]',
    "peer_key": '"0123456789abcdef"',
}


def check(**changes: str) -> None:
    """Decode and check valid settings with ``changes`` applied."""
    fields = {**GOOD, **changes}
    text = ",\n".join(f'"{name}": {value}' for name, value in fields.items())
    decode_settings(f"{{ // a planner\n{text}}}", PlannerSettings, "planner.jsonc").check()


class PlannerSettingsTest(unittest.TestCase):
    """The checks of PlannerSettings."""

    def test_good_settings(self) -> None:
        """Optional settings have defaults."""
        check()

    def test_bad_settings(self) -> None:
        """Each invalid setting is rejected before the planner starts, with its path in the error."""
        cases = [
            ({"operator_address": '"suva-1:9000"'}, "$.operator_address"),
            ({"peer_key": '"short"'}, "$.peer_key"),
            ({"regions": "[]"}, "$.regions"),
            ({"regions": '["viti", "viti"]'}, "$.regions"),
            ({"partitions": "0"}, "$.partitions"),
            ({"policy": '"luck"'}, "$.policy"),
            ({"pace": '{"commit": 0}'}, "$.pace.commit"),
            ({"pace": '{"renew": 30}'}, "$.pace.renew"),
            ({"rules": '{"leases": {"margin": -1}}'}, "$.rules.leases.margin"),
        ]
        for changes, path in cases:
            with self.subTest(changes=changes), self.assertRaises(SettingsError) as raised:
                check(**changes)
            self.assertIn(path, str(raised.exception))
