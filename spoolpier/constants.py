"""Constants shared by several modules of the dispatcher's decisions."""

from __future__ import annotations

EXTRA_WORKERS = 2  # candidates beyond a key's homes from the start; few, as the depot has little capacity
START_LATE_MS = 60.0  # a job that starts later than this after its send has queued; networks take less
LIMIT_STEP = 0.5  # slots off the limit per late start: two dispatchers that collide each back off by half
OVERHEAD_QUANTILE = 0.6  # share of the jobs whose overhead stays below the estimate
RETRY_MS, MAX_RETRY_MS = 40.0, 160.0  # delay before a held job looks for a worker again; doubled each time
FOREVER, NEVER = 1e18, -1e18
MASK_64, GOLDEN_GAMMA = (1 << 64) - 1, 0x9E3779B97F4A7C15
