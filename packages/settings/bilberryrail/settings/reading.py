"""Reads and checks a JSON settings file; errors are returned as values."""

import difflib
import json
import pathlib
import re
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from bilberryrail.settings.errors import SettingsError
from bilberryrail.settings.node import NodeSettings

#: Message of msgspec: what is wrong, then the path of the field, if any.
_MSGSPEC_MESSAGE: Final = re.compile(
    r'^(?P<reason>.*?)(?: - at `\$?(?P<path>.*)`)?$'
)
_UNKNOWN_FIELD: Final = re.compile('unknown field `(?P<name>.*)`')
_EXPECTED: Final = re.compile('^Expected `(?P<allowed>.*?)`(?:, got (.*))?$')
_MISSING: Final = re.compile('required field `(?P<name>.*)`')


class _DuplicateKeyError(ValueError):
    """A JSON object has the same key twice."""


def read_node_settings(
    path: str | pathlib.Path,
) -> Result[NodeSettings, SettingsError]:
    """Read the settings of a node.

    Returns
    -------
    Result[NodeSettings, SettingsError]
        The settings, or the first error with the field that it is in.
    """
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as error:
        return Err(_file_error(path, f'cannot be read: {error.strerror}'))
    return decode_node_settings(raw, str(path))


def decode_node_settings(
    raw: bytes,
    filename: str,
) -> Result[NodeSettings, SettingsError]:
    """Decode and check settings that were read from ``filename``."""
    try:
        _check_json(raw)
    except UnicodeDecodeError as encoding_error:
        position = encoding_error.start
        reason = f'byte {position} is not valid UTF-8'
        return Err(_file_error(filename, reason, 'JSON in UTF-8'))
    except _DuplicateKeyError as duplicate:
        reason = 'is given twice in one object'
        return Err(SettingsError(filename, str(duplicate), reason, 'one value'))
    except (ValueError, RecursionError) as error:
        return Err(_file_error(filename, f'is not JSON: {error}', 'one object'))
    return _decode(raw, filename)


def _decode(raw: bytes, filename: str) -> Result[NodeSettings, SettingsError]:
    try:
        return Ok(msgspec.json.decode(raw, type=NodeSettings))
    except msgspec.MsgspecError as error:
        return Err(parse_msgspec_message(str(error), filename))


def parse_msgspec_message(message: str, filename: str) -> SettingsError:
    """Split a message of msgspec into field, reason and allowed values."""
    match = _MSGSPEC_MESSAGE.match(message)
    reason = match['reason'] if match else message
    path = (match['path'] or '').lstrip('.') if match else ''
    unknown = _UNKNOWN_FIELD.search(reason)
    if unknown:
        return _unknown_field_error(filename, path, unknown['name'])
    missing = _MISSING.search(reason)
    if missing:
        return SettingsError(
            filename, _join_path(path, missing['name']), 'is missing'
        )
    expected = _EXPECTED.match(reason)
    if expected:
        got = expected[2]
        problem = f'has the wrong type ({got})' if got else 'is out of range'
        return SettingsError(filename, path, problem, expected['allowed'])
    return SettingsError(filename, path, reason)


def _unknown_field_error(filename: str, path: str, name: str) -> SettingsError:
    known = _known_field_names(path)
    similar = difflib.get_close_matches(name, known, n=1)
    hint = f'; did you mean {similar[0]!r}?' if similar else ''
    return SettingsError(
        filename,
        _join_path(path, name),
        f'unknown field{hint}',
        ', '.join(known),
    )


def _known_field_names(path: str) -> list[str]:
    """List the fields of the object at a path such as ``engine.relay``."""
    annotation: Any = NodeSettings
    for step in re.findall(r'[a-z_]\w*|\[', path):
        annotation = (
            _element_type(annotation)
            if step == '['
            else _field_type(annotation, step)
        )
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return sorted(
            field.name for field in msgspec.structs.fields(annotation)
        )
    return []


def _element_type(annotation: Any) -> Any:
    return getattr(annotation, '__args__', (None,))[0]


def _field_type(annotation: Any, name: str) -> Any:
    if not (
        isinstance(annotation, type) and issubclass(annotation, msgspec.Struct)
    ):
        return annotation
    for field in msgspec.structs.fields(annotation):
        if field.name == name:
            return field.type
    return None


def _check_json(raw: bytes) -> None:
    json.loads(raw.decode('utf-8'), object_pairs_hook=_reject_duplicate_keys)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, member in pairs:
        if key in found:
            raise _DuplicateKeyError(key)
        found[key] = member
    return found


def _join_path(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _file_error(
    filename: str | pathlib.Path,
    reason: str,
    allowed: str = '',
) -> SettingsError:
    return SettingsError(str(filename), '', reason, allowed)
