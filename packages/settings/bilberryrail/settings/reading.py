"""Read and check a JSON settings file; faults become error values."""

import difflib
import json
import pathlib
import re
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from bilberryrail.settings.errors import SettingsError
from bilberryrail.settings.node import NodeSettings

#: Form of the messages of msgspec: what is wrong, then the path if any.
_MESSAGE: Final = re.compile(r'^(?P<reason>.*?)(?: - at `\$?(?P<path>.*)`)?$')
_UNKNOWN_FIELD: Final = re.compile('unknown field `(?P<name>.*)`')
_EXPECTED: Final = re.compile('^Expected `(?P<allowed>.*?)`(?:, got (.*))?$')
_MISSING: Final = re.compile('required field `(?P<name>.*)`')


class _DuplicateKeyError(ValueError):
    """A JSON object names a key twice."""


def read_node_settings(
    path: str | pathlib.Path,
) -> Result[NodeSettings, SettingsError]:
    """Read the settings of a node.

    Returns
    -------
    Result[NodeSettings, SettingsError]
        The settings, or the first fault found with the field it is in.
    """
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as error:
        return Err(_whole_file(path, f'cannot be read: {error.strerror}'))
    return decode_node_settings(raw, str(path))


def decode_node_settings(
    raw: bytes,
    filename: str,
) -> Result[NodeSettings, SettingsError]:
    """Check settings that were read from ``filename``."""
    try:
        _check_json(raw)
    except UnicodeDecodeError as encoding_error:
        position = encoding_error.start
        reason = f'byte {position} is not valid UTF-8'
        return Err(_whole_file(filename, reason, 'JSON in UTF-8'))
    except _DuplicateKeyError as duplicate:
        reason = 'is given twice in one object'
        return Err(SettingsError(filename, str(duplicate), reason, 'one value'))
    except (ValueError, RecursionError) as error:
        return Err(_whole_file(filename, f'is not JSON: {error}', 'one object'))
    return _convert(raw, filename)


def _convert(raw: bytes, filename: str) -> Result[NodeSettings, SettingsError]:
    try:
        return Ok(msgspec.json.decode(raw, type=NodeSettings))
    except msgspec.MsgspecError as error:
        return Err(explain(str(error), filename))


def explain(message: str, filename: str) -> SettingsError:
    """Turn a message of msgspec into field, reason and what is allowed."""
    match = _MESSAGE.match(message)
    reason = match['reason'] if match else message
    path = (match['path'] or '').lstrip('.') if match else ''
    unknown = _UNKNOWN_FIELD.search(reason)
    if unknown:
        return _unknown_field(filename, path, unknown['name'])
    missing = _MISSING.search(reason)
    if missing:
        return SettingsError(
            filename, _join(path, missing['name']), 'is missing'
        )
    expected = _EXPECTED.match(reason)
    if expected:
        got = expected[2]
        wrong = f'has the wrong value ({got})' if got else 'is out of range'
        return SettingsError(filename, path, wrong, expected['allowed'])
    return SettingsError(filename, path, reason)


def _unknown_field(filename: str, path: str, name: str) -> SettingsError:
    known = _known_fields(path)
    near = difflib.get_close_matches(name, known, n=1)
    hint = f'; did you mean {near[0]!r}?' if near else ''
    return SettingsError(
        filename,
        _join(path, name),
        f'unknown field{hint}',
        ', '.join(known),
    )


def _known_fields(path: str) -> list[str]:
    """List the fields of the object at a path such as ``engine.relay``."""
    kind: Any = NodeSettings
    for step in re.findall(r'[a-z_]\w*|\[', path):
        kind = _element(kind) if step == '[' else _field_type(kind, step)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return sorted(field.name for field in msgspec.structs.fields(kind))
    return []


def _element(kind: Any) -> Any:
    return getattr(kind, '__args__', (None,))[0]


def _field_type(kind: Any, name: str) -> Any:
    if not (isinstance(kind, type) and issubclass(kind, msgspec.Struct)):
        return kind
    for field in msgspec.structs.fields(kind):
        if field.name == name:
            return field.type
    return None


def _check_json(raw: bytes) -> None:
    json.loads(raw.decode('utf-8'), object_pairs_hook=_refuse_duplicates)


def _refuse_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, member in pairs:
        if key in found:
            raise _DuplicateKeyError(key)
        found[key] = member
    return found


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _whole_file(
    filename: str | pathlib.Path,
    reason: str,
    allowed: str = '',
) -> SettingsError:
    return SettingsError(str(filename), '', reason, allowed)
