# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A side's connections to entries that do not read."""

import threading

from portwharf.core import data
from portwharf.peers import messages
from portwharf.peers import streams_test
from portwharf.testing import cluster


def test_entry_that_does_not_read_does_not_hold_up_grants(case):
    """The thread that reads the owner's grants tells entries of rosters."""
    made = cluster.Cluster(2)
    server = made.nodes[0].server
    entry, _ = streams_test.make_slow_pair(case)
    owner, _ = streams_test.make_slow_pair(case)
    server._entries.add(entry)
    hello = messages.Hello(role='owner', epoch=1)
    services = [data.ServiceRoster(f'team/{n}') for n in range(1000)]

    done = threading.Event()

    def take_rosters():
        for seq in range(1, 30):
            roster = data.Roster(seq, 0, services)
            update = messages.RosterUpdate(history=[roster])
            server.take_owner_message(owner, hello, update)
        done.set()

    threading.Thread(target=take_rosters, daemon=True).start()
    case.assertTrue(done.wait(8))
