"""Decisions on who owns the work of a service, and how ownership passes on."""

from ._store_contact import ReleasePeer, StoreContact, release_order

__all__ = ["ReleasePeer", "StoreContact", "release_order"]
