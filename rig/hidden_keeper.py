"""A keeper that listens at a hidden host, behind a relay at the one that it tells others.

PEBBLEDRIFT_HIDDEN_HOST=127.0.4.10 python -m rig.hidden_keeper
"""

from __future__ import annotations

import asyncio
import os
import sys

from pebbledrift.cluster import roles, transport
from pebbledrift.cluster.boot import Address
from pebbledrift.keeper import service

VARIABLE = "PEBBLEDRIFT_HIDDEN_HOST"


async def _serve(address: Address, listener: transport.Listener) -> asyncio.Server:
    return await transport.serve((os.environ[VARIABLE], address[1]), listener)


if __name__ == "__main__":
    setattr(service, "serve", _serve)  # noqa: B010
    sys.exit(roles.run("keeper"))
