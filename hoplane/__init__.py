"""hoplane: a conductor in front of split reading and writing model servers."""

from hoplane.decision.interface import Settings
from hoplane.decision.router import Router

__all__ = ["Router", "Settings"]
__version__ = "0.4.0"
