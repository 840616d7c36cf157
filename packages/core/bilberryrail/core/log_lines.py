"""Formats events as lines of ``key=value`` pairs."""

import re
from collections.abc import Mapping
from typing import Final

_PLAIN: Final = re.compile(r'[^\s="\\]+')


def event_line(name: str, fields: Mapping[str, object]) -> str:
    """Format one event; values with other than plain characters are quoted."""
    words = [f'event={_quoted(name)}']
    words += [f'{key}={_quoted(found)}' for key, found in fields.items()]
    return ' '.join(words)


def _quoted(found: object) -> str:
    text = str(found)
    if _PLAIN.fullmatch(text):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    escaped = escaped.replace('\n', r'\n').replace('\r', r'\r')
    return f'"{escaped}"'
