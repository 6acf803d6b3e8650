"""Reads and writes JSON files given on the command line."""

from __future__ import annotations

import json
import os
import tempfile
from pathlib import Path
from typing import Any

from pebbledrift.console.errors import DocumentError

PRIVATE_MODE = 0o600  # a configuration contains the tenants' API keys


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f"key {key!r} occurs twice in one object")
        result[key] = value
    return result


def read_object(path: str) -> dict[str, Any]:
    """Return the JSON object in a file; raises DocumentError with the path and position of a fault."""
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(f"{path}: cannot be read: {error}") from None
    try:
        data = json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except json.JSONDecodeError as error:
        raise DocumentError(f"{path}:{error.lineno}:{error.colno}: {error.msg}") from None
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"{path}: {error}") from None
    if not isinstance(data, dict):
        raise DocumentError(f"{path}: not a JSON object")
    return data


def write_private(path: str, data: object) -> None:
    """Write JSON to a file with mode 0600, atomically replacing an existing file; raises DocumentError."""
    target = Path(path)
    text = json.dumps(data, indent=2, ensure_ascii=False) + "\n"
    try:
        descriptor, temporary_name = tempfile.mkstemp(dir=target.parent, prefix=f".{target.name}.")
        try:
            with os.fdopen(descriptor, "w", encoding="utf-8") as file:
                os.fchmod(file.fileno(), PRIVATE_MODE)
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary_name, target)
        except BaseException:
            Path(temporary_name).unlink(missing_ok=True)
            raise
    except OSError as error:
        raise DocumentError(f"{path}: cannot be written: {error}") from None
