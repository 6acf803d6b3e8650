"""Outlier detection shared by all nodes: evidence on workers, verdicts, trials and operators' commands."""
