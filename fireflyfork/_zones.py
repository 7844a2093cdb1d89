"""Regions, their failure domains, and the location of a process."""

from __future__ import annotations

from dataclasses import dataclass

from ._ids import FailureDomainName, RegionName


@dataclass(frozen=True, slots=True)
class Zone:
    """The location of a process: one failure domain of one region."""

    region: RegionName
    failure_domain: FailureDomainName


@dataclass(frozen=True, slots=True)
class Region:
    """A region and its failure domains."""

    name: RegionName
    failure_domains: tuple[FailureDomainName, ...]
