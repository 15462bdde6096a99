# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Receives the heartbeats of the runner beside a side."""

import json
import logging

from portwharf.core import data
from portwharf.core import logs
from portwharf.core import web
from portwharf.platform import json_fields
from portwharf.platform import metrics
from portwharf import workers

LOG = logging.getLogger(__name__)

READY = 'ready'
DRAINING = 'draining'
_STATES = (READY, DRAINING)
PREFIX = '/portwharf/instances/'
MAX_BODY_BYTES = 64 * 1024
MAX_REASON_CHARS = 200


class HeartbeatReceiver:
    """The WSGI application that the runner sends its heartbeats to."""

    def __init__(self, on_life):
        """Set up the receiver.

        :param on_life: called with the :class:`workers.Incarnation` of each
            valid heartbeat
        """
        self._on_life = on_life
        # The reason of the last refusal, None after a valid heartbeat.
        self._last_refusal = None

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
            life = parse_life(instance, json.loads(raw))
        except (ValueError, AttributeError, RecursionError) as exc:
            return self._refuse(start_response, instance, exc)
        self._last_refusal = None
        self._on_life(life)
        return web.send_json(start_response, 200, {})

    def _refuse(self, start_response, instance, exc):
        """Refuse a malformed heartbeat; logs the same reason once in a row."""
        metrics.UNREADABLE.labels('heartbeat').inc()
        reason = f'{exc}'[:MAX_REASON_CHARS]
        if reason != self._last_refusal:
            self._last_refusal = reason
            extra = logs.fields(life=instance, reason=reason)
            LOG.warning('heartbeat refused', extra=extra)
        text = f'not a heartbeat: {reason}; send its fields as JSON\n'
        return web.send_text(start_response, 400, text)


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
