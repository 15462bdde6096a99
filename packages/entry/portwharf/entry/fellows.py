# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What entries tell each other, for reports to operators.

Each entry serves ``/internal/entry`` with the configuration in force and
its request counts; the one that an operator asks gathers the others'. An
entry that does not answer is left out: it will not hold up a report.
"""

import dataclasses
import json
import logging

import urllib3

from portwharf import callers
from portwharf.core import codec
from portwharf.core import data

LOG = logging.getLogger(__name__)

PATH = '/internal/entry'
CALL_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class EntryPage:
    """What one entry tells the others."""

    name: str = ''
    config_revision: int = 0
    services: list[callers.ServiceBuckets] = dataclasses.field(
        default_factory=list
    )


class Fellows:
    """The other entries, by the VM list."""

    def __init__(self, name, vmlist, make_page):
        """Take our name, the VM list and a function giving our page."""
        self._name = name
        self._vmlist = vmlist
        self._make_page = make_page
        self._http = urllib3.PoolManager(
            num_pools=8, retries=False, timeout=CALL_SECONDS
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
        """Return the pages of all entries that answer, with ours."""
        return [self._make_page(), *self.read_all()]

    def _read(self, vm):
        try:
            response = self._http.request(
                'GET', f'http://{vm.address}:{vm.port}{PATH}'
            )
            return codec.from_map(EntryPage, json.loads(response.data))
        except (urllib3.exceptions.HTTPError, ValueError, TypeError) as exc:
            LOG.info('entry %s does not answer: %s', vm.name, exc)
            return None
