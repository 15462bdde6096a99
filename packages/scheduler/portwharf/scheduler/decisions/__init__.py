# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What an owner decides: order, places, room, pace, and who is sound.

Nothing here knows the log, members or a socket; each module says which load
it answers, and is tested by playing that load. The modules are imported by
their full names, as sides need only two of them.
"""
