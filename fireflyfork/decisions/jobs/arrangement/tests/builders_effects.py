"""Builders of learned effects between images."""

from __future__ import annotations

from collections.abc import Mapping

from ..._interference import InterferenceModel, LearnedFit

OBSERVED = 1_000.0
"""Weight of observations that outweighs every assumption."""


def learned_effects(serving: str, effects: Mapping[str, float]) -> LearnedFit:
    """Return what an owner stores of a serving image whose effects it has observed alone."""
    names = ("\x00", *effects)
    products = [
        OBSERVED if row == column else 0.0 for row in range(len(names)) for column in range(row + 1)
    ]
    targets = (2.4 * OBSERVED, *(-effect * OBSERVED for effect in effects.values()))
    return LearnedFit(serving, names, tuple(products), targets)


def model_of(effects: Mapping[str, Mapping[str, float]]) -> InterferenceModel:
    """Return a model that has learned these effects, by serving and by disturbing image."""
    model = InterferenceModel()
    model.adopt(learned_effects(serving, each) for serving, each in effects.items())
    return model
