"""python -m pebbledrift: one node on its own, or a role of the router fleet.

Each imports what it uses itself: a process of the fleet has half a core, and a restart waits for its imports.
"""

from __future__ import annotations

import sys

ROLES = ("router", "keeper")


def main() -> int:
    """Run what the first argument names, or a node on its own."""
    if len(sys.argv) > 1 and sys.argv[1] in ROLES:
        from pebbledrift.cluster import roles

        return roles.run(sys.argv[1])
    from pebbledrift import single

    return single.main()


if __name__ == "__main__":
    sys.exit(main())
