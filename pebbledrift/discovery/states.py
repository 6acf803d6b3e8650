"""The states of a worker in discovery's words."""

from __future__ import annotations

from spoolpier import interface as api

STATES = {
    "in_service": api.WorkerState.UP,
    "terminating": api.WorkerState.DRAINING,
    "terminated": api.WorkerState.REMOVED,
}
UNKNOWN_STATE = "terminating"  # what a state counts as that is not in the pages
