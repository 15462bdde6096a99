# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Serialization of data classes to plain maps and to ``msgpack``.

The maps contain only types that ``msgpack`` supports: maps, lists, numbers,
text and bytes. Unknown fields are ignored and missing fields keep their
defaults, so that processes of adjacent versions can communicate. Fields
that have their default value are omitted to keep messages small.
"""

import dataclasses
import functools
import typing

import msgpack

from portwharf.core import data

# Bounds the objects that a corrupt message can make the reader create.
MAX_LIST_ITEMS = 100_000


@dataclasses.dataclass(slots=True)
class _FieldCodec:
    """How one field is serialized.

    :param default: the value that is omitted from the map
    :param read: converts from a map's value, or None to take it as it is
    :param write: converts to a map's value, or None to take it as it is
    """

    name: str
    default: object
    read: typing.Callable | None
    write: typing.Callable | None


def to_map(value):
    """Return a data class instance as a map, without default values."""
    out = {}
    for field in _compile_fields(type(value)):
        item = getattr(value, field.name)
        if item == field.default:
            continue
        out[field.name] = field.write(item) if field.write else item
    return out


def from_map(cls, source):
    """Return an instance of ``cls`` read from a map.

    :raises TypeError: ``source`` or a nested value is not a map
    :raises ValueError: a field's value is not of the declared type
    """
    if not isinstance(source, dict):
        raise TypeError(f'a map is required for {cls.__name__}')
    values = {}
    for field in _compile_fields(cls):
        if field.name not in source:
            continue
        item = source[field.name]
        values[field.name] = field.read(item) if field.read else item
    return cls(**values)


def pack(value):
    """Return a data class instance as msgpack bytes."""
    return msgpack.packb(to_map(value))


def unpack(cls, raw):
    """Return an instance of ``cls`` read from msgpack bytes.

    :raises ValueError: the bytes do not encode an instance of ``cls``
    """
    try:
        return from_map(cls, msgpack.unpackb(raw))
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        raise ValueError(f'not a {cls.__name__}: {exc}') from exc


@functools.cache
def _compile_fields(cls):
    """Return the field codecs of a class, computed once for each class."""
    hints = typing.get_type_hints(cls)
    return [
        _compile_field(field, hints[field.name])
        for field in dataclasses.fields(cls)
    ]


def _compile_field(field, hint):
    default = field.default
    if field.default_factory is not dataclasses.MISSING:
        default = field.default_factory()
    origin = typing.get_origin(hint)
    if dataclasses.is_dataclass(hint):
        read = functools.partial(from_map, hint)
        return _FieldCodec(field.name, default, read, to_map)
    if origin is list:
        (item_type,) = typing.get_args(hint)
        if dataclasses.is_dataclass(item_type):
            return _FieldCodec(
                field.name,
                default,
                functools.partial(_read_list, item_type),
                _write_list,
            )
        read = functools.partial(_read_plain_list, item_type)
        return _FieldCodec(field.name, default, read, list)
    return _FieldCodec(
        field.name, default, functools.partial(_check_type, hint), None
    )


def _check_type(hint, item):
    """Return a plain value of the declared type.

    Whole numbers are accepted for ``float`` fields. A boolean is no number,
    although ``bool`` is a subclass of ``int``.

    :raises ValueError: the value is of another type
    """
    expected = hint if isinstance(hint, type) else object
    is_number = isinstance(item, int) and not isinstance(item, bool)
    if expected is float and is_number:
        return float(item)
    if not isinstance(item, expected) or (expected is int and not is_number):
        raise ValueError(f'{item!r} is not of type {expected.__name__}')
    return item


def _read_list(cls, items):
    _check_list(cls, items)
    return [from_map(cls, item) for item in items]


def _read_plain_list(cls, items):
    _check_list(cls, items)
    return [_check_type(cls, item) for item in items]


def _check_list(cls, items):
    if not isinstance(items, list) or len(items) > MAX_LIST_ITEMS:
        raise ValueError(f'not a list of {cls.__name__}, or too long')


def _write_list(items):
    return [to_map(item) for item in items]


# Compiled on import, as nearly every message uses these types.
for _cls in (data.Resources, data.Workload, data.Vm, data.Problem):
    _compile_fields(_cls)
