"""Bodies of the KServe v2 protocol: a JSON object, which the data of binary tensors may follow."""

from __future__ import annotations

from collections.abc import Mapping

import orjson

# Of a response's JSON part that is parsed to find its binary tensors; the objects take thirty times as much.
MAX_PARSED_BYTES = 512 * 1024
JSON_WHITE_SPACE = b" \t\r\n"
SEARCH_BYTES = 64 * 1024  # looked at in one step
JSON_LENGTH_HEADER = "Inference-Header-Content-Length"  # bytes of JSON in a body, if binary tensors follow it


def json_length(headers: Mapping[str, str], body: bytes) -> int:
    """Return the length of a body's JSON part in bytes. Raises ValueError if the header is malformed."""
    text = headers.get(JSON_LENGTH_HEADER, str(len(body)))
    if not (text.isascii() and text.isdecimal()) or int(text) > len(body):
        raise ValueError(f"{JSON_LENGTH_HEADER}: must be at most the body's length")
    return int(text)


def parse_json_part(headers: Mapping[str, str], body: bytes) -> dict:
    """Parse the JSON part of a body. Raises ValueError if it is malformed."""
    document = orjson.loads(memoryview(body)[: json_length(headers, body)])
    if not isinstance(document, dict):
        raise ValueError("the body must be a JSON object")
    return document


def binary_size(document: dict) -> int:
    """Return the bytes of binary tensors that follow a response's JSON part.

    Raises ValueError if the outputs are malformed."""
    outputs = document.get("outputs", [])
    if not isinstance(outputs, list):
        raise ValueError("outputs: must be a list")
    return sum(output_binary_size(output) for output in outputs)


def output_binary_size(output: object) -> int:
    """Return the bytes of one output's binary tensor, 0 if its data are in the JSON part."""
    parameters = output.get("parameters", {}) if isinstance(output, dict) else None
    size = parameters.get("binary_data_size", 0) if isinstance(parameters, dict) else None
    if not isinstance(size, int) or isinstance(size, bool) or size < 0:
        raise ValueError("outputs: a binary_data_size is malformed")
    return size


def last_character(body: bytes, length: int) -> bytes:
    """Return the last character of a body's first `length` bytes that is no white space, or nothing."""
    for end in range(length, 0, -SEARCH_BYTES):
        if text := bytes(body[max(0, end - SEARCH_BYTES) : end]).rstrip(JSON_WHITE_SPACE):
            return text[-1:]
    return b""


def is_complete_response(headers: Mapping[str, str], body: bytes, *, framed: bool) -> bool:
    """Return whether a response's body has its whole JSON part and all bytes of its binary tensors.

    `framed`: HTTP shows where the body ends. If it does not, the body ends with its connection, and any other
    number of bytes than the JSON part tells of is not the whole response. A JSON part that is too large to be
    parsed is judged by its framing and its last byte."""
    try:
        length = json_length(headers, body)
        if length > MAX_PARSED_BYTES:
            return framed and last_character(body, length) == b"}"
        size = json_length(headers, body) + binary_size(parse_json_part(headers, body))
    except ValueError:
        return False
    return len(body) >= size if framed else len(body) == size
