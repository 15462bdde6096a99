# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Read TOML, check it as a whole and say everything that is wrong.

The rules are a ``voluptuous`` schema that each binary gives; this module
turns its errors into :class:`portwharf.core.data.Problem` values that name
the field, the value and the remedy. Nothing is used from a file that has a
problem anywhere.
"""

import dataclasses
import difflib
import ipaddress
import tomllib

import result
import voluptuous

from portwharf.core import data

# What a check raises for a value that it does not accept.
Invalid = voluptuous.Invalid
MAX_PORT = 65535
MAX_NAME = 63


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An IP number and a port."""

    address: str = ''
    port: int = 0


def read_file(path, schema):
    """Read and check a TOML file.

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
    """Check TOML text against a schema.

    :returns: Ok(map with defaults filled in), or Err(list of problems)
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        problem = data.Problem(
            code='not-toml',
            text=f'is not TOML: {exc}',
            remedy='mend the line that is named',
        )
        return result.Err([problem])
    return check_values(values, schema)


def check_values(values, schema):
    """Check a map against a schema.

    :returns: Ok(map with defaults filled in), or Err(list of problems)
    """
    try:
        return result.Ok(schema(values))
    except voluptuous.MultipleInvalid as exc:
        problems = [
            _describe(error, values, schema.schema) for error in exc.errors
        ]
        return result.Err(problems)


def ip_address(value):
    """Accept an IP number, as text."""
    try:
        return str(ipaddress.ip_address(value))
    except ValueError as exc:
        raise voluptuous.Invalid(
            'must be an IP number such as "10.0.0.5"'
        ) from exc


def port(value):
    """Accept a TCP port."""
    return whole(1, MAX_PORT)(value)


def whole(least, most):
    """Return a check for a whole number in a range."""

    def check(value):
        good = isinstance(value, int) and not isinstance(value, bool)
        if not good or not least <= value <= most:
            raise voluptuous.Invalid(
                f'must be a whole number from {least:,} to {most:,}'
            )
        return value

    return check


def number(least, most):
    """Return a check for a number in a range."""

    def check(value):
        good = isinstance(value, (int, float))
        if not good or isinstance(value, bool) or not least <= value <= most:
            raise voluptuous.Invalid(f'must be a number, {least} to {most}')
        return float(value)

    return check


def name(value):
    """Accept a name: letters, digits, dots and dashes."""
    good = isinstance(value, str) and 0 < len(value) <= MAX_NAME
    if not good or not value.replace('-', 'a').replace('.', 'a').isalnum():
        raise voluptuous.Invalid(
            'must be letters, digits, dots and dashes, at most '
            f'{MAX_NAME} of them'
        )
    return value


def one_of(*choices):
    """Return a check for one of some words."""

    def check(value):
        if value not in choices:
            listed = ', '.join(f'"{choice}"' for choice in choices)
            raise voluptuous.Invalid(f'must be one of {listed}')
        return value

    return check


def check_tls(values):
    """Return the problems of a ``tls`` table that no rule covers alone."""
    files = [values[name] for name in ('certificate', 'key', 'authority')]
    if values['plaintext'] and any(files):
        return [
            data.Problem(
                'bad-setting',
                'tls.plaintext',
                'true',
                'cannot go with certificate files',
                'remove one or the other',
            )
        ]
    if not values['plaintext'] and not all(files):
        return [
            data.Problem(
                'bad-setting',
                'tls',
                '',
                'certificate, key and authority are needed',
                'give all three, or set plaintext = true to go without',
            )
        ]
    return []


def _describe(error, values, schema):
    path = '.'.join(str(part) for part in error.path)
    text = error.msg
    remedy = 'see the examples under examples/'
    value = _look_up(values, error.path)
    if text == 'extra keys not allowed':
        text = 'is not a known key'
        remedy = _suggest(error.path, schema)
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


def _look_up(values, path):
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


def _suggest(path, schema):
    """Name the known key that is nearest to an unknown one."""
    for part in path[:-1]:
        schema = _descend(schema, part)
    known = sorted(str(key) for key in schema) if schema else []
    near = difflib.get_close_matches(str(path[-1]), known, n=1, cutoff=0.4)
    if near:
        return f'did you mean "{near[0]}"?'
    return f'known keys here: {", ".join(known)}'


def _descend(schema, part):
    if isinstance(schema, list):
        return schema[0]
    for key, value in schema.items():
        if str(key) == str(part) or key is str:
            return value
    return {}


# Tables that stand in the settings of both binaries.
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
