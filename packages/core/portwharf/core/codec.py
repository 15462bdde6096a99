# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Turn slotted data classes into plain maps and back.

Made for ``msgpack``, which carries maps, lists, numbers, text and bytes.
A field that the reader does not know is dropped and a field that the
writer did not send keeps its default, so that processes of neighbouring
versions understand each other. Fields that still have their default value
are not written at all; most messages have many of those.
"""

import dataclasses
import functools
import typing

import msgpack

from portwharf.core import data

# No value of ours nests deeper than a message holding a task holding a
# workload; this bounds what a garbled frame can make the reader build.
MAX_ITEMS = 100_000


@dataclasses.dataclass(slots=True)
class _Field:
    """How one field of a class is written and read."""

    name: str
    default: object
    read: typing.Callable | None
    write: typing.Callable | None


def to_map(value):
    """Return a data class instance as a map of plain values."""
    out = {}
    for field in _compile_fields(type(value)):
        item = getattr(value, field.name)
        if item == field.default:
            continue
        out[field.name] = field.write(item) if field.write else item
    return out


def from_map(cls, source):
    """Return an instance of ``cls`` read from a map.

    :raises TypeError: ``source`` is not a map
    :raises ValueError: a nested value has the wrong shape
    """
    if not isinstance(source, dict):
        raise TypeError(f'{cls.__name__} is read from a map')
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

    :raises ValueError: the bytes are not such a value
    """
    try:
        return from_map(cls, msgpack.unpackb(raw))
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        raise ValueError(f'not a {cls.__name__}: {exc}') from exc


@functools.cache
def _compile_fields(cls):
    """Work out once for each class how its fields are carried."""
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
        return _Field(field.name, default, read, to_map)
    if origin is list:
        (item,) = typing.get_args(hint)
        if dataclasses.is_dataclass(item):
            return _Field(
                field.name,
                default,
                functools.partial(_read_list, item),
                _write_list,
            )
        return _Field(field.name, default, list, list)
    return _Field(field.name, default, functools.partial(_check, hint), None)


def _check(hint, item):
    """Return a plain value of the declared type, or complain."""
    kind = hint if isinstance(hint, type) else object
    if kind is float and isinstance(item, int):
        return float(item)
    if not isinstance(item, kind):
        raise ValueError(f'{item!r} is not of type {kind.__name__}')
    return item


def _read_list(cls, items):
    if not isinstance(items, list) or len(items) > MAX_ITEMS:
        raise ValueError(f'a list of {cls.__name__} is expected')
    return [from_map(cls, item) for item in items]


def _write_list(items):
    return [to_map(item) for item in items]


# The types of the data module are used in nearly every message.
for _cls in (data.Resources, data.Workload, data.Vm, data.Problem):
    _compile_fields(_cls)
