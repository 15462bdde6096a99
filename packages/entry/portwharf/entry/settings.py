# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Settings of ``portwharf serve``, read from a TOML file."""

import dataclasses

import result
import voluptuous

from portwharf.core import data
from portwharf.core import settings
from portwharf.peers import tls

SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required('entry'): {
            voluptuous.Required('name'): settings.name,
            voluptuous.Required('address'): settings.ip_address,
            voluptuous.Required('port'): settings.port,
            voluptuous.Required('availability_zone'): settings.name,
            voluptuous.Optional('rack', default='none'): settings.name,
            voluptuous.Optional('threads', default=48): settings.integer(
                2, 1024
            ),
        },
        voluptuous.Required('store'): settings.ENDPOINT,
        voluptuous.Required('vm_list'): settings.ENDPOINT,
        voluptuous.Optional('shards', default=dict): {
            voluptuous.Optional('count', default=1): settings.integer(
                1, 10000
            ),
        },
        voluptuous.Required('tls'): settings.TLS,
        voluptuous.Optional('log', default=dict): settings.LOG,
    }
)


@dataclasses.dataclass(slots=True)
class EntrySettings:
    """All settings of an entry.

    :param threads: worker threads, which bounds the concurrent calls
    :param shards: number of shards
    :param tls: TlsFiles, or None for unencrypted connections
    """

    vm: data.Vm = None
    threads: int = 48
    store: settings.Endpoint = None
    vm_list: settings.Endpoint = None
    shards: int = 1
    tls: 'tls.TlsFiles' = None
    log_style: str = 'json'
    log_level: str = 'INFO'


def read_settings(path):
    """Read and check a settings file.

    :returns: Ok(EntrySettings), or Err(list of Problems)
    """
    return settings.read_file(path, SCHEMA).and_then(_make)


def _make(values):
    problems = settings.check_tls(values['tls'])
    if problems:
        return result.Err(problems)
    entry = dict(values['entry'])
    threads = entry.pop('threads')
    return result.Ok(
        EntrySettings(
            data.Vm(role=data.Role.ENTRY, **entry),
            threads,
            settings.Endpoint(**values['store']),
            settings.Endpoint(**values['vm_list']),
            values['shards']['count'],
            tls.read_tls_files(values['tls']),
            values['log']['style'],
            values['log']['level'],
        )
    )
