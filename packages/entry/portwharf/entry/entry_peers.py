# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Exchange of configuration revisions and request counts between entries.

Each entry serves its own at ``/internal/entry``. The entry that an operator
asks for a report collects those of all other entries, and leaves out an
entry that does not answer, so that it cannot delay the report.
"""

import dataclasses
import logging

import urllib3

from portwharf import callers
from portwharf.core import codec
from portwharf.core import data
from portwharf.core import json_input

LOG = logging.getLogger(__name__)

PATH = '/internal/entry'
CALL_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class EntryPage:
    """Configuration revision and request counts of one entry."""

    name: str = ''
    config_revision: int = 0
    services: list[callers.ServiceBuckets] = dataclasses.field(
        default_factory=list
    )


class EntryPeers:
    """Reads the pages of the other entries on the VM list."""

    def __init__(self, name, vmlist, make_page):
        """Create a reader.

        :param name: name of this entry
        :param make_page: returns this entry's :class:`EntryPage`
        """
        self._name = name
        self._vmlist = vmlist
        self._make_page = make_page
        self._http = urllib3.PoolManager(
            num_pools=8, retries=False, timeout=CALL_TIMEOUT_SECONDS
        )

    def read_all(self):
        """Return the pages of the other entries that answer."""
        listed = self._vmlist.read()
        if listed.is_err():
            return []
        pages = [
            self._read(vm)
            for vm in listed.ok_value
            if vm.role == data.Role.ENTRY and vm.name != self._name
        ]
        return [page for page in pages if page is not None]

    def read_with_own(self):
        """Return the pages of this entry and of the others that answer."""
        return [self._make_page(), *self.read_all()]

    def _read(self, vm):
        try:
            response = self._http.request(
                'GET', f'http://{vm.address}:{vm.port}{PATH}'
            )
            value = json_input.decode_object(response.data)
            return codec.from_map(EntryPage, value)
        except (urllib3.exceptions.HTTPError, ValueError, TypeError) as exc:
            LOG.info('entry %s does not answer: %s', vm.name, exc)
            return None
