# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A client of the platform's advice service, as a ``policy.Policy``."""

import result

from portwharf.platform import http_client
from portwharf.scheduler import policy

# The service answers one question at a time and takes some milliseconds for
# each worker that the question names.
CALL_SECONDS = 5.0
_OK = 200


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
        rows = reply.ok_value.value.get('good', [])
        return result.Ok(
            [
                policy.Permit(by_instance[instance], ticket)
                for instance, ticket in rows
                if instance in by_instance
            ]
        )
