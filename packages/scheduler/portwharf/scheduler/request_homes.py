# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The home VM of a not-repeatable request, which all processes agree on."""

from portwharf.core import ids


def find_home(roster, request, service):
    """Return the VM that is a request's home by a roster, or ''."""
    for one in roster.services:
        if one.service == service and one.members:
            return ids.rank_by_rendezvous_hash(request, one.members)[0]
    return ''
