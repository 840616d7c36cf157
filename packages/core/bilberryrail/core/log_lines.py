"""Formats log events as lines of ``key=value`` pairs."""

import re
from collections.abc import Mapping
from typing import Final

#: Text that is written without quotation marks.
_PLAIN: Final = re.compile(r'[^\s="\\]+')


def event_line(name: str, fields: Mapping[str, object]) -> str:
    """Format one event; quote values that are empty or hold special characters.

    Special characters are white space, quotation marks, equals signs and
    backslashes.
    """
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
