"""Which serving images may share an executor."""

from ._image_groups import ImageGroups

__all__ = ["ImageGroups"]
