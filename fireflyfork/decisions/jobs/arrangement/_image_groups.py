"""Groups of serving images that are disturbed by the same work.

An executor has to reject the work that disturbs any of the images that it serves. Images that are
disturbed by the same work can share an executor at no loss, so they count as one image when serving
tasks are packed.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .._interference import InterferenceModel

MAX_DIFFERENCE = 0.15
"""Largest share of the demand that only one of two images of a group tolerates."""
MIN_KNOWN_SHARE = 0.8
"""Share of the demand whose effect on an image must have been observed before it joins others."""
UPDATE_SECONDS = 2.0
"""Interval between two groupings; effects hardly change in less."""

Tolerance = Mapping[str, float]
"""By image of disturbing work: the share of its demand that a serving image tolerates, 0 to 1."""


class ImageGroups:
    """The current groups; until it is updated, each image is a group of its own."""

    def __init__(self, enabled: bool) -> None:
        """Initialize without groups. Unless ``enabled``, none are formed."""
        self._enabled = enabled
        self._groups: dict[str, str] = {}
        self._updated_at = float("-inf")
        self.revision = 0
        """A number that changes whenever the groups do."""

    def group_of(self, image: str) -> str:
        """Return the name of an image's group: the first of its images by name."""
        return self._groups.get(image, image)

    def count(self, images: Mapping[str, int]) -> int:
        """Return how many groups the images of an executor belong to."""
        if not self._groups:
            return len(images)
        return len({self.group_of(image) for image in images})

    def contains(self, images: Mapping[str, int], image: str) -> bool:
        """Whether one of the images is in the same group as ``image``."""
        if not self._groups:
            return image in images
        group = self.group_of(image)
        return any(self.group_of(other) == group for other in images)

    def update(
        self, model: InterferenceModel, demand: Mapping[str, float], spare: float, now: float
    ) -> None:
        """Form the groups anew from what is known of the effects.

        ``demand`` is the processor time wanted by image of disturbing work, in any unit, and
        ``spare`` the headroom that this work may take of a service. ``now`` is in seconds.
        """
        if not self._enabled or now - self._updated_at < UPDATE_SECONDS:
            return
        self._updated_at = now
        groups = dict(_groups(dict(_tolerances(model, demand, spare)), demand))
        if groups != self._groups:
            self._groups = groups
            self.revision += 1


def _tolerances(
    model: InterferenceModel, demand: Mapping[str, float], spare: float
) -> Iterator[tuple[str, Tolerance]]:
    """Yield the serving images whose effects are known well enough, and what they tolerate."""
    total = sum(demand.values())
    if total <= 0:
        return
    for serving in sorted(model.serving_images()):
        known = sum(cpu for image, cpu in demand.items() if model.is_known(serving, image))
        if known >= MIN_KNOWN_SHARE * total:
            yield (
                serving,
                {
                    image: min(1.0, spare / max(1e-9, model.effect(serving, image)))
                    for image in demand
                },
            )


def _groups(
    tolerances: Mapping[str, Tolerance], demand: Mapping[str, float]
) -> Iterator[tuple[str, str]]:
    """Yield each image with its group; an image joins a group if it is like all of its members."""
    total = sum(demand.values())
    members: dict[str, list[str]] = {}
    for image, tolerance in tolerances.items():
        for group, others in members.items():
            if all(
                _difference(tolerance, tolerances[other], demand) <= MAX_DIFFERENCE * total
                for other in others
            ):
                others.append(image)
                yield image, group
                break
        else:
            members[image] = [image]
            yield image, image


def _difference(first: Tolerance, second: Tolerance, demand: Mapping[str, float]) -> float:
    return sum(cpu * abs(first[image] - second[image]) for image, cpu in demand.items())
