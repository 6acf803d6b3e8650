"""Many real processes of the program, and faults on each direction of each link between them (docs/rig.md).

Stand-ins only, on loopback only, bounded in count and time; what was started is ended by its own handles.
"""
