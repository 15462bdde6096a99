# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Connections and messages between portwharf's own processes."""

from portwharf.peers import links
from portwharf.peers import messages
from portwharf.peers import streams
from portwharf.peers import tls

__all__ = ('links', 'messages', 'streams', 'tls')
