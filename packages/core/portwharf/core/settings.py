# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reading and validation of TOML settings files.

Each binary defines its rules as a ``voluptuous`` schema. This module reports
all errors at once as :class:`portwharf.core.data.Problem` values, with the
field, the value and the remedy. A file with any problem is rejected.
"""

import dataclasses
import difflib
import ipaddress
import re
import tomllib

import result
import voluptuous

from portwharf.core import data

# Raised by a check that rejects a value.
Invalid = voluptuous.Invalid
MAX_PORT = 65535
MAX_NAME_CHARACTERS = 63
_NAME = re.compile(f'[A-Za-z0-9.-]{{1,{MAX_NAME_CHARACTERS}}}')


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An IP address and a port."""

    address: str = ''
    port: int = 0


def read_file(path, schema):
    """Read and validate a TOML file.

    :returns: Ok(map), or Err(list of problems)
    """
    try:
        with open(path, 'rb') as source:
            text = source.read().decode()
    except (OSError, UnicodeDecodeError) as exc:
        problem = data.Problem(
            code='unreadable',
            field=str(path),
            text=f'cannot be read: {exc}',
            remedy='give the path of a TOML file in UTF-8',
        )
        return result.Err([problem])
    return check_text(text, schema)


def check_text(text, schema):
    """Validate TOML text against a schema.

    :returns: Ok(map with defaults filled in), or Err(list of problems)
    """
    try:
        values = tomllib.loads(text)
    except (RecursionError, ValueError) as exc:
        problem = data.Problem(
            code='not-toml',
            text=f'is not valid TOML: {exc}',
            remedy='fix the line that the error names',
        )
        return result.Err([problem])
    return check_values(values, schema)


def check_values(values, schema):
    """Validate a map against a schema.

    :returns: Ok(map with defaults filled in), or Err(list of problems)
    """
    try:
        return result.Ok(schema(values))
    except voluptuous.MultipleInvalid as exc:
        problems = [
            _make_problem(error, values, schema.schema) for error in exc.errors
        ]
        return result.Err(problems)


def ip_address(value):
    """Check that a value is an IP address, as text."""
    try:
        return str(ipaddress.ip_address(value))
    except ValueError as exc:
        raise voluptuous.Invalid(
            'must be an IP number such as "10.0.0.5"'
        ) from exc


def port(value):
    """Check that a value is a TCP port."""
    return integer(1, MAX_PORT)(value)


def integer(low, high):
    """Return a check for a whole number in a range, bounds included."""

    def check(value):
        valid = isinstance(value, int) and not isinstance(value, bool)
        if not valid or not low <= value <= high:
            raise voluptuous.Invalid(
                f'must be a whole number from {low:,} to {high:,}'
            )
        return value

    return check


def number(low, high):
    """Return a check for a number in a range, bounds included."""

    def check(value):
        valid = isinstance(value, (int, float))
        if not valid or isinstance(value, bool) or not low <= value <= high:
            raise voluptuous.Invalid(f'must be a number from {low} to {high}')
        return float(value)

    return check


def name(value):
    """Check that a value is a name: ASCII letters, digits, dots, dashes."""
    valid = isinstance(value, str) and _NAME.fullmatch(value)
    if not valid:
        raise voluptuous.Invalid(
            'must be ASCII letters, digits, dots and dashes, at most '
            f'{MAX_NAME_CHARACTERS} of them'
        )
    return value


def one_of(*choices):
    """Return a check that a value is one of the given ones."""

    def check(value):
        if value not in choices:
            listed = ', '.join(f'"{choice}"' for choice in choices)
            raise voluptuous.Invalid(f'must be one of {listed}')
        return value

    return check


def check_tls(values):
    """Return the problems of a ``tls`` table that no single rule finds."""
    files = [values[name] for name in ('certificate', 'key', 'authority')]
    if values['plaintext'] and any(files):
        return [
            data.Problem(
                'bad-setting',
                'tls.plaintext',
                'true',
                'cannot be combined with certificate files',
                'remove plaintext or the certificate files',
            )
        ]
    if not values['plaintext'] and not all(files):
        return [
            data.Problem(
                'bad-setting',
                'tls',
                '',
                'certificate, key and authority are required',
                'set all three, or set plaintext = true to disable TLS',
            )
        ]
    return []


def _make_problem(error, values, schema):
    """Return a ``voluptuous`` error as a Problem."""
    path = '.'.join(str(part) for part in error.path)
    text = error.msg
    remedy = 'see the examples under examples/'
    value = _format_value(values, error.path)
    if text == 'extra keys not allowed':
        text = 'is not a known key'
        remedy = _suggest_key(error.path, schema)
        value = ''
    elif text == 'required key not provided':
        text = 'is missing'
        remedy = 'add it'
        value = ''
    elif text.startswith('must be'):
        remedy = 'change the value'
    return data.Problem(
        code='bad-setting', field=path, value=value, text=text, remedy=remedy
    )


def _format_value(values, path):
    """Return the value at a path as text, or '' if there is none."""
    for part in path:
        try:
            values = (
                values[str(part)]
                if isinstance(values, dict)
                else (values[part])
            )
        except (KeyError, IndexError, TypeError):
            return ''
    return repr(values)


def _suggest_key(path, schema):
    """Return a hint with the most similar known key, or with all of them."""
    for part in path[:-1]:
        schema = _get_subschema(schema, part)
    known = sorted(str(key) for key in schema) if schema else []
    similar = difflib.get_close_matches(str(path[-1]), known, n=1, cutoff=0.4)
    if similar:
        return f'did you mean "{similar[0]}"?'
    return f'known keys here: {", ".join(known)}'


def _get_subschema(schema, part):
    """Return the schema of a part of a path; ``str`` keys match any part."""
    if isinstance(schema, list):
        return schema[0]
    for key, value in schema.items():
        if str(key) == str(part) or key is str:
            return value
    return {}


# Tables that the settings of several binaries have in common.
ENDPOINT = {
    voluptuous.Required('address'): ip_address,
    voluptuous.Required('port'): port,
}
TLS = {
    voluptuous.Optional('plaintext', default=False): bool,
    voluptuous.Optional('certificate', default=''): str,
    voluptuous.Optional('key', default=''): str,
    voluptuous.Optional('authority', default=''): str,
}
LOG = {
    voluptuous.Optional('style', default='json'): one_of('json', 'text'),
    voluptuous.Optional('level', default='INFO'): one_of(
        'DEBUG', 'INFO', 'WARNING', 'ERROR'
    ),
}
