"""All type errors of a value against a msgspec struct, not only the first."""

from dataclasses import dataclass
from dataclasses import field
from functools import cache
from types import UnionType
from typing import Any
from typing import get_args
from typing import get_origin
from typing import TypeGuard

import msgspec

from .json_positions import Path

# Stands in for a required value that is missing or of a wrong type.
_NEUTRAL_VALUES: dict[object, object] = {str: "", int: 1, float: 1.0}


@dataclass(slots=True)
class StructErrors:
    """Errors by path, and paths of fields that no struct has."""

    errors: list[tuple[Path, str]] = field(default_factory=list)
    unknown: list[tuple[Path, tuple[str, ...]]] = field(default_factory=list)


def find_struct_errors(
    value: Any, struct: type[msgspec.Struct]
) -> tuple[Any, StructErrors]:
    """Return the value with all errors repaired, and the errors.

    An invalid value becomes its default, or a neutral value, so that the
    rest can be checked further. An unknown field comes with the names of
    the fields that the struct has.
    """
    found = StructErrors()
    return _check_value(value, struct, (), found), found


def _is_struct(wanted: Any) -> TypeGuard[type[msgspec.Struct]]:
    """Return whether a type is a struct."""
    return isinstance(wanted, type) and issubclass(wanted, msgspec.Struct)


@cache
def _list_fields(
    struct: type[msgspec.Struct],
) -> dict[str, msgspec.structs.FieldInfo]:
    """Return a struct's fields by name."""
    return {f.encode_name: f for f in msgspec.structs.fields(struct)}


def _check_value(
    value: Any, wanted: Any, path: Path, found: StructErrors
) -> Any:
    """Check a value of any type; return it, repaired."""
    if type(value) is wanted:
        return value
    if get_origin(wanted) is UnionType:
        if value is None:
            return None
        wanted = get_args(wanted)[0]
    if _is_struct(wanted):
        return _check_struct(value, wanted, path, found)
    if get_origin(wanted) is list:
        if not isinstance(value, list):
            _add_type_error(value, list, path, found)
            return []
        (of,) = get_args(wanted)
        if all(type(item) is of for item in value):
            return value
        return [
            _check_value(item, of, (*path, index), found)
            for index, item in enumerate(value)
        ]
    if _add_type_error(value, wanted, path, found):
        return _NEUTRAL_VALUES.get(wanted)
    return value


def _add_type_error(
    value: Any, wanted: Any, path: Path, found: StructErrors
) -> bool:
    """Add an error if a value isn't of a type; return whether it is one."""
    try:
        msgspec.convert(value, wanted)
    except msgspec.ValidationError as error:
        found.errors.append((path, str(error)))
        return True
    return False


def _check_struct(
    value: Any,
    struct: type[msgspec.Struct],
    path: Path,
    found: StructErrors,
) -> dict[str, Any]:
    """Check an object against a struct; return it, repaired."""
    if not isinstance(value, dict):
        _add_type_error(value, dict, path, found)
        value = {}
        silent = StructErrors()
        return _check_struct(value, struct, path, silent)
    fields = _list_fields(struct)
    repaired = {}
    for name, item in value.items():
        if name not in fields:
            found.unknown.append(((*path, name), tuple(fields)))
            continue
        if type(item) is fields[name].type:
            repaired[name] = item
            continue
        before = len(found.errors)
        item = _check_value(item, fields[name].type, (*path, name), found)
        is_whole = len(found.errors) == before
        if is_whole or fields[name].required or isinstance(item, list | dict):
            repaired[name] = item
    for name, info in fields.items():
        if info.required and name not in value:
            found.errors.append((path, f"the field {name!r} is missing"))
            silent = StructErrors()
            empty: Any = [] if get_origin(info.type) is list else None
            repaired[name] = _check_value(
                empty, info.type, (*path, name), silent
            )
    return repaired
