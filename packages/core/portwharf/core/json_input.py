# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Decodes JSON that other programs have written."""

import json

# What decoders raise. JSON integers may be too large for other types, and
# bodies too deeply nested.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def decode_object(raw):
    """Return the JSON object that some bytes encode, as a dict.

    :raises ValueError: the bytes are not JSON, or not an object
    """
    try:
        value = json.loads(raw)
    except RecursionError as exc:
        raise ValueError('the JSON is nested too deeply') from exc
    if not isinstance(value, dict):
        raise ValueError(f'the JSON is a {type(value).__name__}, no object')
    return value
