# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""An owner's scheduling policies: queue order, placement, evictions, health.

Nothing here depends on the log, the members or a socket, so that each policy
can be tested against a simulated load. The modules are imported by their full
names, as sides need only ``precedence`` and ``tail_interference``.
"""
