# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The home of a not-repeatable request: the same answer for everybody."""

from portwharf.core import ids


def find_home(roster, request, service):
    """Return the VM that is an id's home by a roster, or ''."""
    for one in roster.services:
        if one.service == service and one.members:
            return ids.rank_by_rendezvous(request, one.members)[0]
    return ''
