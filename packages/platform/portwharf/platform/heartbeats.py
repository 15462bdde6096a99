# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Receives the heartbeats of the runner beside a side."""

import re

from portwharf.core import data
from portwharf.core import json_input
from portwharf.core import web
from portwharf.platform import json_fields
from portwharf.platform import unreadable
from portwharf import workers

READY = 'ready'
DRAINING = 'draining'
_STATES = (READY, DRAINING)
PREFIX = '/portwharf/instances/'
MAX_BODY_BYTES = 64 * 1024
MAX_LOGGED_CHARS = 60
# Instance ids are sent back in a header of each order.
_INSTANCE_ID = re.compile('[!-~]{1,200}')
_UNREADABLE = unreadable.UnreadableInput('heartbeat')


class HeartbeatReceiver:
    """The WSGI application that the runner sends its heartbeats to."""

    def __init__(self, on_life):
        """Set up the receiver.

        :param on_life: called with the :class:`workers.Incarnation` of each
            valid heartbeat
        """
        self._on_life = on_life

    def __call__(self, environ, start_response):
        path = environ.get('PATH_INFO', '')
        instance, _, verb = path.removeprefix(PREFIX).rpartition('/')
        if not path.startswith(PREFIX) or not instance:
            return web.send_text(start_response, 404, 'no such page\n')
        if verb == 'deregister':
            return web.send_json(start_response, 200, {})
        if verb != 'heartbeat':
            return web.send_text(start_response, 404, 'no such page\n')
        try:
            size = web.read_length(environ)
            raw = environ['wsgi.input'].read(min(size, MAX_BODY_BYTES))
            life = parse_life(instance, json_input.decode_object(raw))
        except json_input.DECODE_ERRORS as exc:
            _UNREADABLE.record(exc, life=ascii(instance)[:MAX_LOGGED_CHARS])
            text = f'not a heartbeat: {exc}; send its fields as JSON\n'
            return web.send_text(start_response, 400, text)
        self._on_life(life)
        return web.send_json(start_response, 200, {})


def read_birth_time(value):
    """Return the birth time of the runner's incarnation; 0 if it is missing.

    Heartbeats and lists carry it as ``born``, in ms.

    :raises ValueError: not an integer
    """
    return json_fields.read_int(value, 'born')


def parse_life(instance, value):
    """Return the ``workers.Incarnation`` that a heartbeat describes.

    On the wire ``service`` names the runner's pool.

    :raises ValueError: a field is missing, malformed or has no valid value
    """
    if not _INSTANCE_ID.fullmatch(instance):
        raise ValueError(
            'the instance id is not 1 to 200 printable characters'
        )
    capacity = json_fields.read_dict(value, 'capacity')
    # The first label is the runner's kind, the second one its rack.
    labels = json_fields.read_list(value, 'labels', str)
    state = json_fields.read_str(value, 'state', READY)
    if state not in _STATES:
        raise ValueError(f'"state" is {state!r:.40}, not one of {_STATES}')
    return workers.Incarnation(
        data.IncarnationId(instance, read_birth_time(value)),
        json_fields.read_str(value, 'service', None),
        json_fields.read_str(value, 'zone'),
        data.Resources(
            json_fields.read_int(capacity, 'cpu'),
            json_fields.read_int(capacity, 'memMb'),
            json_fields.read_int(capacity, 'gpu'),
        ),
        labels,
        labels[1] if len(labels) > 1 else '',
        state == DRAINING,
        json_fields.read_int(value, 'remainingMs'),
        json_fields.read_int(value, 'seq'),
    )
