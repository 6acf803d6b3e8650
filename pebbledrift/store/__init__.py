"""A small replicated key-value store: last writer wins, digests repair loss, a file where there is a disk.

docs/store.md says what it guarantees. No decision and no rule rests on replication.
"""
