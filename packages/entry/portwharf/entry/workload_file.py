# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reads the TOML files in which operators declare workloads."""

import voluptuous

from portwharf.core import data
from portwharf.core import settings
from portwharf.operators import validators

KINDS = {
    'service': data.Kind.SERVICE,
    'batch': data.Kind.BATCH,
    'standing': data.Kind.STANDING,
}


def text(value):
    """Validate a string."""
    if not isinstance(value, str):
        raise settings.Invalid('must be text in quotes')
    return value


def boolean(value):
    """Validate a boolean."""
    if not isinstance(value, bool):
        raise settings.Invalid('must be true or false')
    return value


_RESOURCES = {
    voluptuous.Required('cpu_milli'): settings.integer(
        1, validators.MAX_CPU_MILLI
    ),
    voluptuous.Required('memory_mb'): settings.integer(
        1, validators.MAX_MEMORY_MB
    ),
    voluptuous.Optional('accelerators', default=0): settings.integer(
        0, validators.MAX_ACCELERATORS
    ),
}
_SECONDS = settings.integer(0, validators.MAX_SECONDS)
SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required('workload'): [
            {
                voluptuous.Required('name'): settings.name,
                voluptuous.Required('team'): settings.name,
                voluptuous.Required('kind'): settings.one_of(*KINDS),
                voluptuous.Required('program'): settings.name,
                voluptuous.Required('resources'): _RESOURCES,
                voluptuous.Optional('key', default=''): text,
                voluptuous.Optional('argument', default=''): text,
                voluptuous.Optional('count', default=1): settings.integer(
                    1, validators.MAX_COUNT
                ),
                voluptuous.Optional('importance', default=0): settings.integer(
                    0, validators.MAX_IMPORTANCE
                ),
                voluptuous.Optional('run_seconds', default=0): _SECONDS,
                voluptuous.Optional('deadline_seconds', default=0): _SECONDS,
                voluptuous.Optional('checkpointable', default=False): boolean,
                voluptuous.Optional('overlap_allowed', default=False): boolean,
                voluptuous.Optional('urgent', default=False): boolean,
            }
        ]
    }
)


class DeclaredWorkload:
    """A workload of a file, with its idempotency key or an empty string."""

    __slots__ = ('key', 'workload')

    def __init__(self, key, workload):
        self.key = key
        self.workload = workload


def read_file(path):
    """Read and check a file of workloads.

    :returns: Ok(list of DeclaredWorkload), or Err(list of Problems)
    """
    return settings.read_file(path, SCHEMA).map(_read_all)


def _read_all(values):
    return [_read(row) for row in values['workload']]


def _read(row):
    fields = dict(row)
    key = fields.pop('key')
    fields['kind'] = KINDS[fields['kind']]
    fields['resources'] = data.Resources(**fields['resources'])
    fields['argument'] = fields['argument'].encode()
    return DeclaredWorkload(key, data.Workload(**fields))
