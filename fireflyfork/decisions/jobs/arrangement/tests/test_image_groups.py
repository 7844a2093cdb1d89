"""Serving images that share executors, while batch work fills what services leave.

Many services of a few kinds reserve nearly all processors. Each batch image disturbs some kinds and
not others, so an executor that serves two kinds is of no use to most of the batch work.
"""

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ... import Scheduler
from ..._placement_costs import task_cost
from ..._policy_settings import ArrangementSettings, PolicySettings
from ...tests.builders_jobs import START, START_MS, TERMS, OwnerUnderTest, job, step
from .._image_groups import MAX_DIFFERENCE, UPDATE_SECONDS, ImageGroups
from .builders_effects import learned_effects, model_of

HEAVY, LIGHT = 6.0, 0.4
SPARE = 0.8
DEMAND = {"sort": 1.0, "scan": 1.0, "render": 1.0}
KINDS = {
    "web": {"sort": HEAVY, "scan": LIGHT, "render": HEAVY},
    "shop": {"sort": HEAVY, "scan": LIGHT, "render": 0.9 * HEAVY},
    "search": {"sort": LIGHT, "scan": HEAVY, "render": LIGHT},
}


def _groups(effects: dict[str, dict[str, float]]) -> ImageGroups:
    groups = ImageGroups(enabled=True)
    groups.update(model_of(effects), DEMAND, SPARE, START)
    return groups


class ImageGroupsTest(unittest.TestCase):
    """Which images form a group."""

    def test_images_that_the_same_work_disturbs_are_one_group(self) -> None:
        groups = _groups(KINDS)
        self.assertEqual(groups.group_of("web"), groups.group_of("shop"))
        self.assertNotEqual(groups.group_of("web"), groups.group_of("search"))
        self.assertEqual(groups.count({"web": 2, "shop": 1}), 1)
        self.assertTrue(groups.contains({"web": 2}, "shop"))

    def test_an_image_whose_effects_are_not_known_stays_alone(self) -> None:
        """Guards against mixing images at the start, when all of them look average."""
        groups = _groups(KINDS | {"new": {"sort": HEAVY}})
        self.assertEqual(groups.group_of("new"), "new")
        self.assertFalse(groups.contains({"web": 1}, "new"))

    def test_without_the_setting_each_image_is_its_own_group(self) -> None:
        groups = ImageGroups(enabled=False)
        groups.update(model_of(KINDS), DEMAND, SPARE, START)
        self.assertEqual(groups.count({"web": 1, "shop": 1}), 2)

    def test_a_changed_effect_changes_the_groups(self) -> None:
        """Guards against cached costs that belong to earlier groups."""
        groups = _groups(KINDS)
        revision = groups.revision
        changed = KINDS | {"shop": {"sort": LIGHT, "scan": HEAVY, "render": LIGHT}}
        groups.update(model_of(changed), DEMAND, SPARE, START + UPDATE_SECONDS)
        self.assertEqual(groups.group_of("shop"), groups.group_of("search"))
        self.assertGreater(groups.revision, revision)

    @given(
        st.dictionaries(
            st.sampled_from("abcdef"),
            st.fixed_dictionaries(
                {image: st.sampled_from([LIGHT, 2.0, HEAVY]) for image in DEMAND}
            ),
        )
    )
    def test_all_images_of_a_group_tolerate_nearly_the_same(
        self, effects: dict[str, dict[str, float]]
    ) -> None:
        """Guards against a chain of similar images whose ends have nothing in common."""
        groups, model = _groups(effects), model_of(effects)

        def tolerance(serving: str, image: str) -> float:
            return min(1.0, SPARE / max(1e-9, model.effect(serving, image)))

        for first in effects:
            for second in effects:
                if groups.group_of(first) == groups.group_of(second):
                    difference = sum(
                        abs(tolerance(first, image) - tolerance(second, image)) for image in DEMAND
                    )
                    self.assertLessEqual(difference, MAX_DIFFERENCE * len(DEMAND) + 1e-9)


class PackingByGroupTest(unittest.TestCase):
    """Where a serving task goes when executors with its own image are full."""

    def _cost(self, enabled: bool, image: str) -> float:
        owner = OwnerUnderTest("i-0")
        policies = PolicySettings(arrangement=ArrangementSettings(image_groups=enabled))
        scheduler = Scheduler(replace(TERMS, policies=policies))
        model = scheduler._state.interference
        model.adopt(learned_effects(serving, each) for serving, each in KINDS.items())
        model.groups.update(model, DEMAND, SPARE, START)
        owner.executor().serving_counts = {"web": 2}
        serving = step(long_running=True, image=image, tail_target_ms=50)
        owner.scheduler.accept(job("00000000000000aa", serving), START_MS)
        task = next(owner.scheduler.jobs.live_tasks())
        cost = task_cost(task, owner.executor(), model, 2.0)
        assert cost is not None
        return cost

    def test_an_executor_with_an_image_of_the_same_group_is_preferred(self) -> None:
        """Guards against making one more executor useless for work without a reservation."""
        self.assertLess(self._cost(True, "shop"), self._cost(True, "search"))
        self.assertEqual(self._cost(True, "shop"), self._cost(True, "web"))

    def test_without_the_setting_any_second_image_costs_the_same(self) -> None:
        self.assertEqual(self._cost(False, "shop"), self._cost(False, "search"))
