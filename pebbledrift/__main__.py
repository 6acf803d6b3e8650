"""python -m pebbledrift: one node on its own, a role of the router fleet, or an operator's command.

Each imports what it uses itself: a process of the fleet has half a core, and a restart waits for its imports.
"""

from __future__ import annotations

import sys

ROLES = ("router", "keeper")
NODE = "node"
CONSOLE = ("config", "status", "explain", "snapshot", "list", "help", "completions")


def main() -> int:
    """Run what the first argument names, or a node on its own."""
    first = sys.argv[1] if len(sys.argv) > 1 else ""
    if first in ROLES:
        from pebbledrift.cluster import roles

        return roles.run(first)
    if first in CONSOLE:
        from pebbledrift.console import application

        return application.main()
    if first == NODE:
        del sys.argv[1]
    from pebbledrift import single

    return single.main()


if __name__ == "__main__":
    sys.exit(main())
