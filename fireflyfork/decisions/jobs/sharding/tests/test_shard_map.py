"""The shards of a service whose work grows beyond one owner, shrinks again, and moves.

Load: thousands of executors in many failure domains, whose work an owner of a small instance can't do.
"""

import unittest
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from ....._ids import FailureDomainName, JobId
from .._shard_map import MAX_OWNER_SHARE, ShardMap, bind, next_map, rebind, shards_needed

Work = dict[FailureDomainName, float]

STRENGTH = 1.0
JOBS = [JobId(f"{number:016x}") for number in range(60)]
works = st.dictionaries(
    st.sampled_from([FailureDomainName(name) for name in "abcdefghijklmnop"]),
    st.floats(0.0, 2.0).map(lambda value: round(value, 3)),
    min_size=1,
)


def _maps(steps: list[Work]) -> list[ShardMap]:
    maps = [ShardMap()]
    for work in steps:
        maps.append(next_map(maps[-1], work, STRENGTH))
    return maps


class ShardMapTest(unittest.TestCase):
    """All instances compute the same map, and it changes no more than it must."""

    def test_one_owner_where_one_is_enough(self) -> None:
        """Guards against several owners, and their calls to the store, for a small service."""
        work = {FailureDomainName(name): 0.1 for name in "abc"}
        self.assertEqual(len(next_map(ShardMap(), work, STRENGTH).shards), 1)

    def test_a_load_at_the_border_changes_nothing(self) -> None:
        """Guards against shards that are split and merged with every wave of work."""
        domains = [FailureDomainName(name) for name in "abcd"]
        border = STRENGTH * MAX_OWNER_SHARE / len(domains)
        high, low = dict.fromkeys(domains, 1.05 * border), dict.fromkeys(domains, 0.95 * border)
        split = next_map(ShardMap(), high, STRENGTH)
        self.assertEqual(len(split.shards), 2)
        self.assertIs(next_map(split, low, STRENGTH), split)
        self.assertEqual(shards_needed(dict.fromkeys(domains, 0.5 * border), STRENGTH, 2), 1)

    @settings(derandomize=True, max_examples=50)
    @given(st.lists(works, min_size=1, max_size=6))
    def test_each_domain_has_one_shard(self, steps: list[Work]) -> None:
        """Guards against two owners that start tasks on one executor, and executors without any."""
        for work, shard_map in zip(steps, _maps(steps)[1:], strict=True):
            domains = sorted(domain for shard in shard_map.shards for domain in shard)
            self.assertEqual(domains, sorted(work))
            self.assertTrue(all(shard_map.shards))

    @settings(derandomize=True, max_examples=50)
    @given(st.lists(works, min_size=1, max_size=6), st.randoms(use_true_random=False))
    def test_the_order_of_the_store_s_content_does_not_matter(
        self, steps: list[Work], random: object
    ) -> None:
        """Guards against instances that disagree on the map, which would never be stored."""
        shuffled = []
        for work in steps:
            names = list(work)
            random.shuffle(names)  # type: ignore[attr-defined]
            shuffled.append({name: work[name] for name in names})
        self.assertEqual(_maps(steps), _maps(shuffled))

    @settings(derandomize=True, max_examples=50)
    @given(st.lists(works, min_size=1, max_size=6))
    def test_a_map_without_a_reason_to_change_stays(self, steps: list[Work]) -> None:
        """Guards against a new version, and moved work, whenever somebody looks."""
        for work, shard_map in zip(steps, _maps(steps)[1:], strict=True):
            self.assertIs(next_map(shard_map, work, STRENGTH), shard_map)

    @settings(derandomize=True, max_examples=50)
    @given(st.lists(works, min_size=2, max_size=6))
    def test_domains_move_only_when_the_number_of_shards_changes(self, steps: list[Work]) -> None:
        """Guards against work that moves between owners because other work has come or gone."""
        maps = _maps(steps)
        for before, after in pairwise(maps[1:]):
            if len(before.shards) == len(after.shards) and all(
                shard & frozenset().union(*after.shards) for shard in before.shards
            ):
                for domain in frozenset().union(*before.shards) & frozenset().union(*after.shards):
                    self.assertEqual(before.shard_of(domain), after.shard_of(domain))

    @settings(derandomize=True, max_examples=50)
    @given(st.lists(works, min_size=1, max_size=6))
    def test_a_job_keeps_its_shard_while_the_shard_exists(self, steps: list[Work]) -> None:
        """Guards against a job that two shards place, or none."""
        maps = _maps(steps)[1:]
        bindings = [bind(job, maps[0]) for job in JOBS]
        for shard_map in maps:
            for binding in bindings:
                after = rebind(binding, shard_map)
                self.assertLess(after.shard, len(shard_map.shards))
                self.assertTrue(after == binding or binding.shard >= len(shard_map.shards))
            bindings = [rebind(binding, shard_map) for binding in bindings]
