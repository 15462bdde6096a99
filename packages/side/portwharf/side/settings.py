# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The settings of ``portwharf-side``, from one TOML file."""

import dataclasses

import result
import voluptuous

from portwharf.core import data
from portwharf.core import settings
from portwharf.peers import tls
from portwharf.scheduler import environment
from portwharf.scheduler import limits

# Log appends per second of all owners together, below the 40 that users allow,
# which leaves room for snapshots and trimming.
STORE_WRITES = 36
_MAX_SECONDS = 3600
_BYTES_PER_MB = 2**20
_LIMITS_SCHEMA = {
    voluptuous.Optional(
        f'{field.name}_seconds', default=field.default
    ): settings.number(0.05, _MAX_SECONDS)
    for field in dataclasses.fields(limits.Limits)
}
SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required('vm'): {
            voluptuous.Required('name'): settings.name,
            voluptuous.Required('address'): settings.ip_address,
            voluptuous.Required('port'): settings.port,
            voluptuous.Required('pages_port'): settings.port,
            voluptuous.Required('availability_zone'): settings.name,
            voluptuous.Required('rack'): settings.name,
            voluptuous.Optional('shard', default=0): settings.integer(0, 9999),
        },
        voluptuous.Required('store'): settings.ENDPOINT,
        voluptuous.Required('vm_list'): settings.ENDPOINT,
        voluptuous.Optional('worker'): settings.ENDPOINT,
        voluptuous.Optional('runner'): {
            **settings.ENDPOINT,
            voluptuous.Optional('slots', default=8): settings.integer(1, 1024),
            voluptuous.Optional('connections', default=64): settings.integer(
                1, 4096
            ),
            voluptuous.Optional('queue', default=32): settings.integer(
                0, 4096
            ),
            voluptuous.Optional('services', default=list): [str],
        },
        voluptuous.Optional('limits', default=dict): _LIMITS_SCHEMA,
        voluptuous.Optional('shards', default=dict): {
            voluptuous.Optional('count', default=1): settings.integer(
                1, 10000
            ),
            voluptuous.Optional(
                'store_writes_per_second', default=STORE_WRITES
            ): settings.integer(1, 100_000),
        },
        voluptuous.Optional('memory', default=dict): {
            voluptuous.Optional(
                'jobs_mb', default=environment.MAX_JOB_BYTES // _BYTES_PER_MB
            ): settings.integer(1, 100_000),
        },
        voluptuous.Optional('placement', default=dict): {
            voluptuous.Optional('compare_vms', default=False): bool,
        },
        voluptuous.Required('tls'): settings.TLS,
        voluptuous.Optional('log', default=dict): settings.LOG,
    }
)


@dataclasses.dataclass(slots=True)
class RunnerSettings:
    """The runner beside this side, and its limits.

    :param slots: requests that run at a time
    :param queue: requests that may wait for a slot
    :param services: served in addition to those on the worker, as "team/name"
    """

    address: str = ''
    port: int = 0
    slots: int = 8
    connections: int = 64
    queue: int = 32
    services: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class SideSettings:
    """All settings of a side.

    :param worker: Endpoint or None
    :param runner: RunnerSettings or None
    :param append_interval: seconds between two appends of an owner
    :param tls: TlsFiles, or None for plain text
    :param compares_vms: placement treats pools whose VMs differ as uneven
    :param max_job_bytes: memory that accepted jobs may take in this process
    """

    vm: data.Vm = None
    pages_port: int = 0
    store: settings.Endpoint = None
    vm_list: settings.Endpoint = None
    worker: settings.Endpoint = None
    runner: RunnerSettings = None
    limits: 'limits.Limits' = None
    append_interval: float = 0.0
    tls: 'tls.TlsFiles' = None
    log_style: str = 'json'
    log_level: str = 'INFO'
    compares_vms: bool = False
    max_job_bytes: int = environment.MAX_JOB_BYTES


def read_settings(path):
    """Read and check a settings file.

    :returns: Ok(SideSettings), or Err(list of Problems)
    """
    return settings.read_file(path, SCHEMA).and_then(_make)


def _make(values):
    problems = settings.check_tls(values['tls'])
    problems += _check_limits(values['limits'])
    if 'worker' not in values and 'runner' not in values:
        problems.append(
            data.Problem(
                'bad-setting',
                '',
                '',
                'neither a worker nor a runner is given',
                'add a [worker] or a [runner] table',
            )
        )
    if problems:
        return result.Err(problems)
    return result.Ok(_build_settings(values))


def _check_limits(values):
    """Return the problems of limits that are valid one by one."""
    problems = []
    if values['heartbeat_seconds'] * 2 > values['confirm_seconds']:
        problems.append(
            data.Problem(
                'bad-setting',
                'limits.confirm_seconds',
                str(values['confirm_seconds']),
                'must be at least twice heartbeat_seconds, or no owner can '
                'grant',
                'raise it, or lower heartbeat_seconds',
            )
        )
    for name, least in (
        ('degraded_outage_seconds', 'confirm_seconds'),
        ('outage_seconds', 'degraded_outage_seconds'),
    ):
        if values[name] < values[least]:
            problems.append(
                data.Problem(
                    'bad-setting',
                    f'limits.{name}',
                    str(values[name]),
                    f'must be at least {least}, as an owner that more members '
                    'confirm grants for longer',
                    f'raise it, or lower {least}',
                )
            )
    return problems


def _build_settings(values):
    vm = dict(values['vm'])
    pages_port = vm.pop('pages_port')
    shards = values['shards']
    cfg = SideSettings(
        vm=data.Vm(**vm),
        pages_port=pages_port,
        store=settings.Endpoint(**values['store']),
        vm_list=settings.Endpoint(**values['vm_list']),
        append_interval=shards['count'] / shards['store_writes_per_second'],
        tls=tls.read_tls_files(values['tls']),
        log_style=values['log']['style'],
        log_level=values['log']['level'],
        compares_vms=values['placement']['compare_vms'],
        max_job_bytes=values['memory']['jobs_mb'] * _BYTES_PER_MB,
    )
    cfg.limits = limits.Limits(
        **{
            name.removesuffix('_seconds'): value
            for name, value in values['limits'].items()
        }
    )
    if 'worker' in values:
        cfg.worker = settings.Endpoint(**values['worker'])
    if 'runner' in values:
        cfg.runner = RunnerSettings(**values['runner'])
    return cfg
