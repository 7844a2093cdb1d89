"""Small stand-ins for what the platform gives. The product never imports this package."""

from ._switches import Switches

__all__ = ["Switches"]
