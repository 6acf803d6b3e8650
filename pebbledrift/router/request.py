"""Parsing of client requests: names of headers, API key, deadline and prompt."""

from __future__ import annotations

from pebbledrift.net.http import Message
from spoolpier.records import record

REQUEST_ID = "x-pebbledrift-request-id"
DEADLINE = "x-pebbledrift-deadline-ms"
EXPECT_INSTANCE = "x-pebbledrift-expect-instance"
EXPECT_VERSION = "expect-version"
TENANT = "x-pebbledrift-tenant"
TOKEN_COUNT = "x-pebbledrift-token-count"
PROMPT_PREFIX = "x-pebbledrift-prompt-prefix"
MODEL = "x-pebbledrift-model"
SEAL = "x-pebbledrift-response-seal"
NOT_EXECUTED = "x-pebbledrift-not-executed"
LAST_EVENT_ID = "last-event-id"
AUTHORIZATION_SCHEME = "token "
DEFAULT_DEADLINE_MS = 30_000.0
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
)


@record
class Prompt:
    """The prompt that a request declares: numbers of prompt and output tokens, and the parts in order."""

    prompt_tokens: float
    output_tokens: float
    parts: tuple[tuple[int, float], ...]  # (id, tokens)

    @property
    def tokens(self) -> float:
        """The tokens that count against a quota."""
        return self.prompt_tokens + self.output_tokens

    def key(self) -> int | None:
        """The routing key, which requests with a common prefix share."""
        return routing_key(self.parts)


def routing_key(parts: tuple[tuple[int, float], ...]) -> int | None:
    """The id of the part that determines the preferred worker: the last but one.

    The last part is specific to the request; it is used only if there is no other. None without parts.
    """
    if not parts:
        return None
    return parts[-2][0] if len(parts) > 1 else parts[-1][0]


def api_key(message: Message) -> str | None:
    """The API key of a request, or None."""
    value = message.headers.get("authorization", "")
    return (
        value[len(AUTHORIZATION_SCHEME) :].strip() if value.lower().startswith(AUTHORIZATION_SCHEME) else None
    )


def deadline_ms(message: Message) -> float:
    """The time that the client waits for the response, in milliseconds."""
    try:
        value = float(message.headers.get(DEADLINE, ""))
    except ValueError:
        return DEFAULT_DEADLINE_MS
    return value if 0 < value < 1e9 else DEFAULT_DEADLINE_MS


def parse_prompt(message: Message) -> Prompt | None:
    """The prompt that a request declares; None if the header is missing or malformed."""
    counts = message.headers.get(TOKEN_COUNT)
    if counts is None:
        return None
    try:
        prompt_text, _, output_text = counts.partition(",")
        prompt_tokens, output_tokens = float(prompt_text), float(output_text or 0)
    except ValueError:
        return None
    if not (0 <= prompt_tokens < 1e9 and 0 <= output_tokens < 1e9):
        return None
    return Prompt(prompt_tokens, output_tokens, parse_parts(message.headers.get(PROMPT_PREFIX, "")))


def parse_parts(text: str) -> tuple[tuple[int, float], ...]:
    """Parses the parts of a prompt, `ID:TOKENS` in order; returns none if any part is malformed."""
    parts = []
    for item in filter(None, (part.strip() for part in text.split(","))):
        name, _, tokens = item.partition(":")
        try:
            parts.append((int(name, 16), float(tokens)))
        except ValueError:
            return ()
    return tuple(parts)
