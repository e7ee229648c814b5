"""asterrelay: the decisions of a router in front of split reading and writing model servers."""

from asterrelay.interface import Settings
from asterrelay.rules import Router

__all__ = ["Router", "Settings"]
__version__ = "0.1.0"
