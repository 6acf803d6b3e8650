"""One node on several cores: a supervisor, core processes, and the memory that they share (docs/cores.md)."""
