# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The settings that the platform lays for a process, and what follows.

The file is read once at the start. Fields that are not known are left
alone, as the platform may add some at any time.
"""

import dataclasses
import os
import tomllib

import result

from portwharf.core import data
from portwharf.core import settings
from portwharf.scheduler import limits

VARIABLE = 'PORTWHARF_BOOT'
_MS = 1000
# Used where the file does not say how long a lease may be.
_MAX_HOLD_MS = 6000
# Of the store's calls a second, what one process may use.
_WRITES_A_PROCESS = 0.15


@dataclasses.dataclass(slots=True)
class Boot:
    """What a process learns of itself and of the platform.

    :param vm: this VM, with the first of our own ports
    :param clients: Endpoint where job calls come in, or None
    :param readiness: Endpoint that the balancer asks, or None
    :param beats: Endpoint where the runner's heartbeats come in, or None
    :param runner: Endpoint of the runner beside us, or None
    :param pages_port: where our own metrics are served
    :param store: Endpoint of the store
    :param store_calls: calls a second that this process may make
    :param advice: Endpoint of the policy's service, or None
    :param max_hold_ms: the longest lease that a runner gives
    :param grace_seconds: from a stop's announcement to a kill
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


def read_boot(environ=os.environ):
    """Read the file that the environment names.

    :returns: Ok(Boot), or Err(list of Problems)
    """
    path = environ.get(VARIABLE, '')
    try:
        with open(path, 'rb') as source:
            values = tomllib.load(source)
    except (OSError, ValueError) as exc:
        return result.Err([_describe(VARIABLE, path, str(exc))])
    try:
        return result.Ok(decode_boot(values))
    except (KeyError, TypeError, ValueError) as exc:
        return result.Err([_describe('', path, f'lacks or garbles {exc}')])


def decode_boot(values):
    """Return the :class:`Boot` of a settings file's values.

    :raises KeyError: a field that is needed is missing
    :raises ValueError: an address or a number is not one
    """
    listen = values.get('listen', {})
    bounds = values.get('bounds', {})
    platform = values['platform']
    # First and last of the ports that are free for us.
    port, last_port = values['internalPorts']
    role = data.Role.ENTRY
    if 'side' in values['serves']:
        role = data.Role.ENDPOINT
    return Boot(
        data.Vm(values['node'], values['ip'], port, values['zone'], role=role),
        _find_endpoint(listen, 'front'),
        _find_endpoint(listen, 'ready'),
        _find_endpoint(listen, 'control'),
        _find_endpoint(values, 'app'),
        min(port + 1, last_port),
        _find_endpoint(platform, 'address'),
        max(20.0, platform['writes_per_s'] * _WRITES_A_PROCESS),
        _find_endpoint(values, 'advice'),
        int(bounds.get('maxHoldMs', _MAX_HOLD_MS)),
        float(bounds.get('graceS', 6.0)),
    )


def make_limits(boot):
    """Return the time limits that suit the platform's leases.

    A lease is given for ``guard + lease`` at the most, which has to fit
    into the longest that a runner gives, with a heartbeat to spare. Shorter
    leases free a silent VM's tasks sooner; longer ones live through a
    change of owners, which takes takeover, asking and a first heartbeat.
    """
    longest = boot.max_hold_ms / _MS
    return limits.Limits(
        heartbeat=0.4,
        confirm=1.6,
        guard=min(2.6, longest * 0.45),
        lease=min(2.0, longest * 0.35),
        takeover=1.3,
        rank_step=0.3,
        unreachable=1.5,
        gone=8.0,
    )


def _find_endpoint(values, name):
    """Return the Endpoint under a name, or None if there is none."""
    text = values.get(name, '')
    if not text:
        return None
    address, _, port = text.rpartition(':')
    return settings.Endpoint(address, int(port))


def _describe(field, value, text):
    return data.Problem(
        'bad-settings', field, value, text, 'mend the settings file'
    )
