# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The platform's advice service as portwharf's own ``policy.Policy``."""

import result

from portwharf.platform import http
from portwharf.scheduler import policy

# An answer takes some milliseconds for each worker that is named, after
# the callers before us.
CALL_SECONDS = 5.0
_OK = 200


class AdviceService(policy.Policy):
    """A client of the service; a context manager that closes it."""

    def __init__(self, endpoint):
        """Take the service's ``settings.Endpoint``."""
        self._client = http.Client(endpoint, 1)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._client.__exit__(*exc_info)

    def ask(self, step, lives):
        # A ticket is one life's, and the service knows workers by their
        # ids alone: no two of one question have the same.
        by_instance = {life.instance: life for life in lives}
        body = {'step': step, 'workers': list(by_instance)}
        reply = self._client.call(
            'POST', '/portwharf/advise', CALL_SECONDS, body
        )
        if reply.is_err():
            return result.Err(reply.err_value.text)
        if reply.ok_value.status != _OK:
            return result.Err(f'HTTP status {reply.ok_value.status}')
        rows = reply.ok_value.value.get('good', [])
        return result.Ok(
            [
                policy.Permit(by_instance[instance], ticket)
                for instance, ticket in rows
                if instance in by_instance
            ]
        )
