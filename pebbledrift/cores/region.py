"""The memory that the processes of one node share: its layout, and how it is made, found and checked.

A region has no name in any file system: it is made by the supervisor (memfd_create), handed to each core as a
descriptor, and gone with the last process. What a core is handed is checked all the same before it is used.

All cells are words of 64 bits at addresses divisible by 8. On x86-64 and aarch64 such a word is read and
written whole. Unless said otherwise a cell has one writer, and needs no compare-and-swap.
"""

from __future__ import annotations

import mmap
import os
import struct
from dataclasses import dataclass

MAGIC = int.from_bytes(b"pebbldr1", "little")
VERSION = 1

BUCKET = 16  # cells in one bucket of the directory
BUCKETS = 2048  # of each core: 4,000 open ids and 4,096 answered lately fill four cells each in the mean
ROWS = 2048  # workers on the board
HEADER = 32  # words
FIGURES = 16  # words of each core before the counts of its classes
COUNTS = 4  # of a class: served, refused, failed, sends


class RegionError(Exception):
    """Shared memory that cannot be used; the message says why."""


@dataclass(frozen=True)
class Layout:
    """Where everything stands, in words. It follows from the number of cores and of classes alone."""

    cores: int
    classes: int

    @property
    def figures_words(self) -> int:
        """Words of one core's figures."""
        return FIGURES + COUNTS * self.classes

    @property
    def figures(self) -> int:
        """Where the cores' figures begin."""
        return HEADER

    @property
    def columns(self) -> int:
        """Where the board's columns begin: three of the node, then four of each core; ROWS words each."""
        return self.figures + self.cores * self.figures_words

    @property
    def cells(self) -> int:
        """Where the directory's cells begin."""
        return self.columns + ROWS * (3 + 4 * self.cores)

    @property
    def words(self) -> int:
        """All."""
        return self.cells + self.cores * BUCKETS * BUCKET


class Region:
    """The mapped words. Header: magic, version, cores, classes, words, the node's life, its secret (2)."""

    def __init__(self, descriptor: int, layout: Layout, life: int) -> None:
        self.descriptor = descriptor
        self.layout = layout
        self.life = life
        self.map = mmap.mmap(descriptor, 8 * layout.words)
        self.bytes = memoryview(self.map)
        self.words = self.bytes.cast("Q")

    @classmethod
    def make(cls, layout: Layout) -> Region:
        """A fresh region of zeros. RegionError where the machine has no memory left for it."""
        descriptor = os.memfd_create("pebbledrift-cores")
        try:
            # pages are taken now: a later write to one that cannot be had would end the process (SIGBUS)
            os.posix_fallocate(descriptor, 0, 8 * layout.words)
        except OSError as error:
            os.close(descriptor)
            raise RegionError(f"no room for {8 * layout.words} bytes of shared memory: {error}") from error
        life = int.from_bytes(os.urandom(7), "little") | 1
        region = cls(descriptor, layout, life)
        region.words[1:8] = memoryview(
            struct.pack("<7Q", VERSION, layout.cores, layout.classes, layout.words, life, *_secret())
        ).cast("Q")
        region.words[0] = MAGIC  # last: half a header is none
        return region

    @classmethod
    def join(cls, descriptor: int, layout: Layout, life: int) -> Region:
        """The region behind a descriptor, if it is the one that is meant. RegionError says what is wrong."""
        try:
            size = os.fstat(descriptor).st_size
            head = os.pread(descriptor, 8 * 8, 0)
        except OSError as error:
            raise RegionError(f"shared memory cannot be read: {error}") from error
        if len(head) < 64:
            raise RegionError(f"shared memory without a header: {size} bytes")
        magic, version, cores, classes, words, found = struct.unpack_from("<6Q", head)
        if magic != MAGIC:
            raise RegionError("shared memory of another program, or not ready")
        if version != VERSION:
            raise RegionError(f"shared memory of version {version}; this program has {VERSION}")
        if (cores, classes, words) != (layout.cores, layout.classes, layout.words) or size < 8 * words:
            raise RegionError(f"shared memory for {cores} cores and {classes} classes, in {size} bytes")
        if found != life:
            raise RegionError("shared memory of an earlier life of the node")
        return cls(descriptor, layout, life)

    @property
    def secret(self) -> bytes:
        """Sixteen bytes that nobody outside the node knows: they key the directory's hash."""
        return bytes(self.bytes[6 * 8 : 8 * 8])


def _secret() -> tuple[int, int]:
    first, second = struct.unpack("<2Q", os.urandom(16))
    return first, second
