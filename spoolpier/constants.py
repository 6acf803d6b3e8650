"""Figures that several parts of the decisions share."""

from __future__ import annotations

NEAR = 2  # workers beyond its homes that a job looks at from the start: the depot has little room
START_LATE_MS = 60.0  # a job that starts this long after its send has waited; networks take less
LIMIT_STEP = 0.5  # slots off the limit for each late start: two dispatchers that collide give way by half
OVERHEAD_AT = 0.6  # share of the jobs that stay under the overhead that is reckoned with
RETRY_MS, RETRY_MOST_MS = 40.0, 160.0  # a held job that found nothing free looks again after this, doubled
FOREVER, NEVER = 1e18, -1e18
MASK, ODD = (1 << 64) - 1, 0x9E3779B97F4A7C15
