"""Parsers of settings: each returns a checked value or a text of what is allowed."""

import re
from collections.abc import Callable
from typing import Any
from urllib import parse

import result

Parser = Callable[[str], result.Result[Any, str]]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
LINK_PATTERN = re.compile(r"tcp://[0-9a-zA-Z.:\[\]-]+:[0-9]{1,5}")
MAXIMUM_PORT = 65_535


def name(text: str) -> result.Result[str, str]:
    """Parse the name of a host, an availability zone or a node."""
    if NAME_PATTERN.fullmatch(text):
        return result.Ok(text)
    return result.Err("1 to 63 of a-z, 0-9, '.' and '-', beginning with a-z or 0-9")


def text(minimum: int) -> Parser:
    """Return a parser for text of at least ``minimum`` characters."""

    def parse_text(value: str) -> result.Result[str, str]:
        if len(value) >= minimum:
            return result.Ok(value)
        return result.Err(f"text of at least {minimum} characters")

    return parse_text


def path(value: str) -> result.Result[str, str]:
    """Parse the path of a file or folder; empty for none."""
    if "\0" in value:
        return result.Err("a path without a zero byte")
    return result.Ok(value)


def link(value: str) -> result.Result[str, str]:
    """Parse an address of the system's own protocol."""
    if LINK_PATTERN.fullmatch(value) and _has_valid_port(value):
        return result.Ok(value)
    return result.Err("tcp://ADDRESS:PORT with a port of 1 to 65535")


def socket_address(value: str) -> result.Result[tuple[str, int], str]:
    """Parse ADDRESS:PORT."""
    host, _, port = value.rpartition(":")
    if host and port.isdigit() and _has_valid_port(value):
        return result.Ok((host.strip("[]"), int(port)))
    return result.Err("ADDRESS:PORT with a port of 1 to 65535")


def http_url(value: str) -> result.Result[str, str]:
    """Parse an HTTP or HTTPS address without a path."""
    parts = parse.urlsplit(value)
    if parts.scheme in ("http", "https") and parts.netloc and parts.path in ("", "/"):
        return result.Ok(value.rstrip("/"))
    return result.Err("http://ADDRESS:PORT or https://ADDRESS:PORT")


def optional(parser: Parser) -> Parser:
    """Return a parser that also accepts empty text and returns None for it."""

    def parse_optional(value: str) -> result.Result[Any, str]:
        if not value:
            return result.Ok(None)
        return parser(value).map_err(lambda allowed: f"empty, or {allowed}")

    return parse_optional


def comma_separated(parser: Parser) -> Parser:
    """Return a parser for comma-separated values; empty text gives an empty list."""

    def parse_comma_separated(value: str) -> result.Result[list[Any], str]:
        parsed = []
        for item in value.split(","):
            if not item.strip():
                continue
            outcome = parser(item.strip())
            if outcome.is_err():
                return result.Err(f"a comma-separated list, each item {outcome.err()}")
            parsed.append(outcome.ok())
        return result.Ok(parsed)

    return parse_comma_separated


def mapping(parser: Parser) -> Parser:
    """Return a parser for comma-separated NAME=VALUE pairs."""

    def parse_mapping(value: str) -> result.Result[dict[str, Any], str]:
        allowed = "comma-separated NAME=VALUE pairs, each name once"
        parsed: dict[str, Any] = {}
        for item in value.split(","):
            if not item.strip():
                continue
            key, separator, inner = item.strip().partition("=")
            outcome = parser(inner)
            if not separator or name(key).is_err() or key in parsed:
                return result.Err(allowed)
            if outcome.is_err():
                return result.Err(f"{allowed}, each value {outcome.err()}")
            parsed[key] = outcome.ok()
        return result.Ok(parsed)

    return parse_mapping


def number(minimum: float, maximum: float, unit: str) -> Parser:
    """Return a parser for a number within bounds, in the given unit."""

    def parse_number(value: str) -> result.Result[float, str]:
        allowed = f"{minimum} to {maximum} {unit}"
        try:
            parsed = float(value)
        except ValueError:
            return result.Err(allowed)
        if minimum <= parsed <= maximum:
            return result.Ok(parsed)
        return result.Err(allowed)

    return parse_number


def integer(minimum: int, maximum: int, unit: str) -> Parser:
    """Return a parser for an integer within bounds, in the given unit."""

    def parse_integer(value: str) -> result.Result[int, str]:
        if value.isdigit() and minimum <= int(value) <= maximum:
            return result.Ok(int(value))
        return result.Err(f"a whole number from {minimum} to {maximum} {unit}")

    return parse_integer


def one_of(*choices: str) -> Parser:
    """Return a parser that accepts only the given words."""

    def parse_choice(value: str) -> result.Result[str, str]:
        if value in choices:
            return result.Ok(value)
        return result.Err(" or ".join(choices))

    return parse_choice


def _has_valid_port(value: str) -> bool:
    return 0 < int(value.rpartition(":")[2]) <= MAXIMUM_PORT
