"""Decisions on who owns the work of a service, and how ownership passes on."""

from ._shard_map import JobBinding, ShardId, ShardMap, bind, next_map, rebind, shards_needed
from ._store_contact import ReleasePeer, StoreContact, release_order

__all__ = [
    "JobBinding",
    "ReleasePeer",
    "ShardId",
    "ShardMap",
    "StoreContact",
    "bind",
    "next_map",
    "rebind",
    "release_order",
    "shards_needed",
]
