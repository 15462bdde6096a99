# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Settings that the platform writes for a process, and time limits from them.

The file is read once, at the start. Unknown fields are ignored, as the
platform may add some at any time.
"""

import dataclasses
import os
import tomllib

import result

from portwharf.core import data
from portwharf.core import json_input
from portwharf.core import settings
from portwharf.scheduler import environment
from portwharf.scheduler import limits

PATH_VARIABLE = 'PORTWHARF_BOOT'
_MS_PER_SECOND = 1000
# The longest lease, if the file does not say.
_MAX_HOLD_MS = 6000
# One process's calls per second, as a share of the store's writes per second.
_PROCESS_WRITE_SHARE = 0.15
# Accepted jobs may take this share of a process's memory. To read or write a
# snapshot takes as much again, for a moment.
_JOB_MEMORY_SHARE = 0.3
_BYTES_PER_MB = 2**20


@dataclasses.dataclass(slots=True)
class BootSettings:
    """The settings of one process and its endpoints on the platform.

    :param vm: this VM, with the first of the ports reserved for portwharf
    :param clients: Endpoint for the job calls of clients, or None
    :param readiness: Endpoint for the balancer's readiness checks, or None
    :param beats: Endpoint for the runner's heartbeats, or None
    :param runner: Endpoint of the runner on this VM, or None
    :param pages_port: port of the health and metrics pages
    :param store: Endpoint of the store
    :param store_calls: calls per second that this process may make
    :param advice: Endpoint of the advice service, or None
    :param max_hold_ms: the longest lease that a runner accepts
    :param grace_seconds: time from the stop signal to the kill
    :param max_job_bytes: memory that accepted jobs may take in this process
    """

    vm: data.Vm = None
    clients: settings.Endpoint = None
    readiness: settings.Endpoint = None
    beats: settings.Endpoint = None
    runner: settings.Endpoint = None
    pages_port: int = 0
    store: settings.Endpoint = None
    store_calls: float = 60.0
    advice: settings.Endpoint = None
    max_hold_ms: int = _MAX_HOLD_MS
    grace_seconds: float = 6.0
    max_job_bytes: int = environment.MAX_JOB_BYTES


def read_settings(environ=os.environ):
    """Read the settings file whose path the environment gives.

    :returns: Ok(BootSettings), or Err(list of Problems)
    """
    path = environ.get(PATH_VARIABLE, '')
    try:
        with open(path, 'rb') as source:
            values = tomllib.load(source)
    except (OSError, RecursionError, ValueError) as exc:
        return result.Err([_make_problem(PATH_VARIABLE, path, str(exc))])
    try:
        return result.Ok(decode_settings(values))
    except json_input.DECODE_ERRORS as exc:
        return result.Err(
            [_make_problem('', path, f'missing or bad field: {exc}')]
        )


def decode_settings(values):
    """Return the :class:`BootSettings` for the values of a settings file.

    On the wire ``front`` is the entry's endpoint for clients, ``control``
    the side's endpoint for heartbeats, and ``app`` the runner's endpoint.

    :raises KeyError: a required field is missing
    :raises ValueError: an address or a number is malformed
    """
    listen = values.get('listen', {})
    bounds = values.get('bounds', {})
    platform = values['platform']
    # The first and the last port of the range reserved for portwharf.
    port, last_port = values['internalPorts']
    role = data.Role.ENTRY
    if 'side' in values['serves']:
        role = data.Role.ENDPOINT
    return BootSettings(
        data.Vm(values['node'], values['ip'], port, values['zone'], role=role),
        _find_endpoint(listen, 'front'),
        _find_endpoint(listen, 'ready'),
        _find_endpoint(listen, 'control'),
        _find_endpoint(values, 'app'),
        min(port + 1, last_port),
        _find_endpoint(platform, 'address'),
        max(20.0, platform['writes_per_s'] * _PROCESS_WRITE_SHARE),
        _find_endpoint(values, 'advice'),
        int(bounds.get('maxHoldMs', _MAX_HOLD_MS)),
        float(bounds.get('graceS', 6.0)),
        _find_job_bytes(values.get('limits', {})),
    )


def make_limits(boot):
    """Return time limits that fit the platform's longest lease.

    A task's lease lasts ``guard + lease`` at most, which has to be shorter
    than the longest lease that a runner accepts, by at least a heartbeat.
    Shorter leases release a silent VM's tasks sooner. Longer ones survive a
    change of owner, which takes the takeover time, the questions to the
    other sides and a first heartbeat.
    """
    longest_lease = boot.max_hold_ms / _MS_PER_SECOND
    return limits.Limits(
        heartbeat=0.4,
        confirm=1.6,
        guard=min(2.6, longest_lease * 0.45),
        lease=min(2.0, longest_lease * 0.35),
        degraded_outage=6.0,
        outage=20.0,
        takeover=1.3,
        rank_step=0.3,
        unreachable=1.5,
        gone=8.0,
    )


def _find_job_bytes(process_limits):
    """Return the memory that jobs may take, by the limits of a process."""
    memory_mb = process_limits.get('memoryMb')
    if not memory_mb:
        return environment.MAX_JOB_BYTES
    return int(memory_mb * _BYTES_PER_MB * _JOB_MEMORY_SHARE)


def _find_endpoint(values, name):
    """Return the Endpoint in a field, or None if the field is missing."""
    text = values.get(name, '')
    if not text:
        return None
    address, _, port = text.rpartition(':')
    return settings.Endpoint(address, int(port))


def _make_problem(field, value, text):
    return data.Problem(
        'bad-settings', field, value, text, 'mend the settings file'
    )
