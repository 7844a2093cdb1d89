"""Keeps the state of a scheduler from being used after an error in the middle of a change."""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from typing import Concatenate, ParamSpec, TypeVar

from ..._errors import DecisionError

_Parameters = ParamSpec("_Parameters")
_Result = TypeVar("_Result")
_Guarded = TypeVar("_Guarded", bound="GuardedState")


class GuardedState:
    """Base class of objects whose methods change a state that has to stay consistent."""

    _has_failed = False

    @property
    def has_failed(self) -> bool:
        """Whether a method has raised an error, so that the state may be half changed."""
        return self._has_failed


def guarded_change(
    method: Callable[Concatenate[_Guarded, _Parameters], _Result],
) -> Callable[Concatenate[_Guarded, _Parameters], _Result]:
    """Decorate a method that changes the state of its object, or reads it to act on it.

    If the method raises an error, the decorated one raises DecisionError from it, and so does every
    later call of any decorated method of the object, without changing anything.
    """

    @wraps(method)
    def guarded(
        self: _Guarded, /, *args: _Parameters.args, **kwargs: _Parameters.kwargs
    ) -> _Result:
        if self._has_failed:
            raise DecisionError("the state is not trusted after an earlier error")
        try:
            return method(self, *args, **kwargs)
        except Exception as error:
            self._has_failed = True
            if isinstance(error, DecisionError):
                raise
            raise DecisionError(f"{method.__name__}: {error!r}") from error

    return guarded
