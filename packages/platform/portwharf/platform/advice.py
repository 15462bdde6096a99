# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A client of the platform's advice service, as a ``policy.Policy``."""

import result

from portwharf.core import json_input
from portwharf.platform import http_client
from portwharf.platform import json_fields
from portwharf.platform import unreadable
from portwharf.scheduler import policy

# The service answers one question at a time and takes some milliseconds for
# each worker that the question names.
CALL_SECONDS = 5.0
# A ticket goes into each start of its step.
MAX_TICKET_BYTES = 4000
_OK = 200
_ANSWERS = unreadable.UnreadableInput('advice')
_ROWS = unreadable.UnreadableInput('ticket')


class AdviceClient(policy.Policy):
    """Asks the advice service; a context manager that closes connections."""

    def __init__(self, endpoint):
        """Take the service's ``settings.Endpoint``."""
        self._client = http_client.Client(endpoint, 1)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._client.__exit__(*exc_info)

    def query(self, step, lives):
        # A ticket is valid for one incarnation. The service knows workers by
        # their instance ids, which are unique within one question.
        by_instance = {life.instance: life for life in lives}
        body = {'step': step, 'workers': list(by_instance)}
        reply = self._client.call(
            'POST', '/portwharf/advise', CALL_SECONDS, body
        )
        if reply.is_err():
            return result.Err(reply.err_value.text)
        if reply.ok_value.status != _OK:
            return result.Err(f'HTTP status {reply.ok_value.status}')
        try:
            # An empty list may be left out.
            rows = json_fields.read_list(reply.ok_value.value, 'good', object)
        except ValueError as exc:
            _ANSWERS.record(exc, workload=step)
            return result.Err(f'unreadable answer: {exc}')
        return result.Ok(_read_permits(rows, by_instance))


def _read_permits(rows, by_instance):
    """Return a ``policy.Permit`` for each row that can be read.

    :param by_instance: the ``data.IncarnationId`` of each worker, by its
        instance id
    """
    permits = []
    for row in rows:
        try:
            instance, ticket = row
            if not isinstance(instance, str) or not isinstance(ticket, str):
                raise ValueError('a row is no instance id with its ticket')
            if len(ticket.encode()) > MAX_TICKET_BYTES:
                raise ValueError('a ticket is too long')
        except json_input.DECODE_ERRORS as exc:
            _ROWS.record(exc)
            continue
        if instance in by_instance:
            permits.append(policy.Permit(by_instance[instance], ticket))
    return permits
