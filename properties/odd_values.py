"""Odd variants of JSON documents, as another writer might leave them."""

from __future__ import annotations

import copy
import json

# Texts that stand for a value in a document, some of them no JSON.
ODD_TOKENS = {
    "type": (
        b"null",
        b"true",
        b"0.5",
        b'""',
        b'"x"',
        b"[]",
        b"{}",
        b"[[]]",
        b'{"a":{}}',
    ),
    "number": (
        b"-1",
        b"1e308",
        b"-1e308",
        b"9007199254740993",
        b"9223372036854775808",
        b"18446744073709551616",
        b"9" * 400,
        b"-" + b"9" * 400,
        b"9" * 4300,
    ),
    "no number": (b"NaN", b"-Infinity", b"1e999", b"9" * 5000, b'"nan"'),
    "depth": (
        b"[" * 100 + b"]" * 100,
        b"[" * 900 + b"]" * 900,
        b"[" * 100_000,
        b'{"a":' * 100_000,
    ),
    "text": (
        b'"\xff"',
        b'"\xed\xa0\x80"',
        b'"\\ud800"',
        b'"\\u0000"',
        b'"' + b"x" * 10_000 + b'"',
    ),
    "address": (
        b'"10.0.0.1:99999"',
        b'"10.0.0.1:' + b"7" * 5000 + b'"',
        b'"10.0.0.1"',
        b'"10.0.0.1:-1"',
        b'"10.0.0.1\\u0000:1"',
    ),
}
_STOP_SHARE = 0.2
_PLACEHOLDER = "@odd@"


def choose_path(rng, document):
    """Returns the path of a value, level by level; () if there is none."""
    path = ()
    while isinstance(document, dict | list) and document:
        if path and rng.random() < _STOP_SHARE:
            break
        is_mapping = isinstance(document, dict)
        keys = list(document) if is_mapping else range(len(document))
        path = (*path, rng.choice(keys))
        document = document[path[-1]]
    return path


def choose_token(rng):
    """Returns a text that stands for an odd value."""
    return rng.choice(ODD_TOKENS[rng.choice(list(ODD_TOKENS))])


def _parent(document, path):
    for key in path[:-1]:
        document = document[key]
    return document


def replace_value(document, path, value):
    """Replaces the value at a path."""
    _parent(document, path)[path[-1]] = value


def make_odd(rng, document):
    """Returns the bytes of a document with one fault."""
    document = copy.deepcopy(document)
    kind = rng.choice(("value", "value", "value", "missing", "extra", "bytes"))
    path = choose_path(rng, document)
    if kind == "bytes" or not path:
        return _make_odd_bytes(rng, json.dumps(document).encode())
    if kind == "missing":
        del _parent(document, path)[path[-1]]
    elif kind == "extra":
        document["extra"] = _PLACEHOLDER
    else:
        replace_value(document, path, _PLACEHOLDER)
    text = json.dumps(document).encode()
    placeholder = json.dumps(_PLACEHOLDER).encode()
    return text.replace(placeholder, choose_token(rng))


def _make_odd_bytes(rng, text):
    """Returns bytes that are cut, empty, broken or another value."""
    position = rng.randrange(len(text))
    return rng.choice(
        (
            b"",
            text[:position],
            text[:position] + b"\xff" + text[position:],
            text[:position] + b"\x00" + text[position + 1 :],
            text + text,
            choose_token(rng),
            rng.randbytes(rng.randrange(1, 200)),
        )
    )
