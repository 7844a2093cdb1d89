"""Regions, their failure domains, and where a process stands."""

from __future__ import annotations

from dataclasses import dataclass

from ._ids import FailureDomainName, RegionName


@dataclass(frozen=True, slots=True)
class Zone:
    """A place: one failure domain of one region."""

    region: RegionName
    failure_domain: FailureDomainName


@dataclass(frozen=True, slots=True)
class Region:
    """A region and the failure domains in it."""

    name: RegionName
    failure_domains: tuple[FailureDomainName, ...]
