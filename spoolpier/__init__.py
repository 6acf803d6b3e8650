"""spoolpier: cache-aware decisions for dispatchers that push jobs to workers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from spoolpier.dispatcher import Dispatcher

__all__ = ["Dispatcher"]


def __getattr__(name: str) -> Any:
    """Import Dispatcher on first use: many processes need only small parts of the package."""
    if name != "Dispatcher":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from spoolpier.dispatcher import Dispatcher

    return Dispatcher
