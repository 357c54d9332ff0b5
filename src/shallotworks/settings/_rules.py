"""Rules that describe the allowed values of a key and parse its text."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from returns.result import Failure as Err
from returns.result import Result, Success

from ._secrets import read_secret, read_token

__all__ = [
    "AddressListRule",
    "AddressRule",
    "DecimalRule",
    "HostRule",
    "NameRule",
    "Rule",
    "SecretFileRule",
    "TimeOfDayRule",
    "WholeNumberRule",
    "parse_address",
]

MAX_PORT = 65_535

# The patterns accept ASCII digits only, and few enough that a float is finite.
_WHOLE_PATTERN = re.compile(r"[+-]?[0-9]{1,15}", re.ASCII)
_DECIMAL_PATTERN = re.compile(r"[+-]?[0-9]{1,15}(\.[0-9]{1,15})?", re.ASCII)
_TIME_OF_DAY_PATTERN = re.compile(r"([01][0-9]|2[0-3]):[0-5][0-9]", re.ASCII)
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", re.ASCII)


class Rule(Protocol):
    """The rule for the value of one key."""

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        ...

    def parse(self, text: str, *, folder: Path) -> Result[Any, str]:
        """Return the parsed value, or a description of the problem.

        Args:
            text: The value as written.
            folder: Folder of the settings file, to which relative paths refer.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class WholeNumberRule:
    """A whole number within a range."""

    minimum: int
    maximum: int

    @property
    def allowed(self) -> str:
        """The range in words."""
        return f"a whole number from {self.minimum} to {self.maximum}"

    def parse(self, text: str, *, folder: Path) -> Result[int, str]:
        """Return the number."""
        if not _WHOLE_PATTERN.fullmatch(text):
            return Err("not a whole number")
        number = int(text)
        if not self.minimum <= number <= self.maximum:
            return Err("out of range")
        return Success(number)


@dataclass(frozen=True, slots=True, kw_only=True)
class DecimalRule:
    """A decimal number within a range."""

    minimum: float
    maximum: float

    @property
    def allowed(self) -> str:
        """The range in words."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def parse(self, text: str, *, folder: Path) -> Result[float, str]:
        """Return the number."""
        if not _DECIMAL_PATTERN.fullmatch(text):
            return Err("not a number")
        number = float(text)
        if not self.minimum <= number <= self.maximum:
            return Err("out of range")
        return Success(number)


@dataclass(frozen=True, slots=True, kw_only=True)
class TimeOfDayRule:
    """A time of day in UTC, as ``HH:MM``."""

    @property
    def allowed(self) -> str:
        """The form in words."""
        return "a time of day from 00:00 to 23:59, in UTC"

    def parse(self, text: str, *, folder: Path) -> Result[str, str]:
        """Return the time as written."""
        return Success(text) if _TIME_OF_DAY_PATTERN.fullmatch(text) else Err("not a time of day")


@dataclass(frozen=True, slots=True, kw_only=True)
class NameRule:
    """The name of an object in the fleet."""

    @property
    def allowed(self) -> str:
        """Description of the pattern."""
        return "1 to 63 letters, digits, dots, hyphens and underscores, a letter or digit first"

    def parse(self, text: str, *, folder: Path) -> Result[str, str]:
        """Return the name."""
        if not _NAME_PATTERN.fullmatch(text):
            return Err("not a name")
        return Success(text)


@dataclass(frozen=True, slots=True, kw_only=True)
class HostRule:
    """An IP address to listen on.

    Args:
        reachable: Whether the address is announced to other instances, so that an unspecified
            address such as ``0.0.0.0`` is not allowed.
    """

    reachable: bool = False

    @property
    def allowed(self) -> str:
        """Description of the allowed addresses."""
        return "an IP address that other instances reach" if self.reachable else "an IP address"

    def parse(self, text: str, *, folder: Path) -> Result[str, str]:
        """Return the address in canonical form."""
        ip_address = _parse_ip_address(text)
        if ip_address is None:
            return Err("not an IP address")
        if self.reachable and ip_address.is_unspecified:
            return Err("the unspecified address, which other instances can't connect to")
        return Success(str(ip_address))


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressRule:
    """An ``ip:port`` to connect to; may be empty if ``optional`` is set."""

    optional: bool = False

    @property
    def allowed(self) -> str:
        """The form in words."""
        form = f"ip:port (IPv6 as [ip]:port), the port from 1 to {MAX_PORT}"
        return f"{form}, or nothing" if self.optional else form

    def parse(self, text: str, *, folder: Path) -> Result[str, str]:
        """Return the ``ip:port`` in canonical form."""
        if self.optional and not text:
            return Success("")
        return parse_address(text)


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressListRule:
    """A list of ``ip:port``, separated by commas; may be empty."""

    @property
    def allowed(self) -> str:
        """The form in words."""
        return f"a list of {AddressRule().allowed}, separated by commas; may be empty"

    def parse(self, text: str, *, folder: Path) -> Result[tuple[str, ...], str]:
        """Return the addresses in the order written."""
        addresses: list[str] = []
        for part in text.split(",") if text.strip() else ():
            parsed = parse_address(part.strip())
            if isinstance(parsed, Err):
                return Err(f"{part.strip()!r} is {parsed.failure()}")
            addresses.append(parsed.unwrap())
        if len(set(addresses)) < len(addresses):
            return Err("an address is listed twice")
        return Success(tuple(addresses))


@dataclass(frozen=True, slots=True, kw_only=True)
class SecretFileRule:
    """The path of a file that contains a token or a key.

    Args:
        min_bytes: Minimum length of the secret.
        sent_in_header: Whether the secret is sent in an HTTP header and must therefore be visible
            ASCII.
    """

    min_bytes: int
    sent_in_header: bool = False

    @property
    def allowed(self) -> str:
        """Description of the allowed files."""
        holds = f"at least {self.min_bytes} bytes" if self.min_bytes > 1 else "a secret"
        form = " of visible ASCII characters" if self.sent_in_header else ""
        return f"the path of a readable file that holds {holds}{form}"

    def parse(self, text: str, *, folder: Path) -> Result[str, str]:
        """Return the absolute path."""
        if not text:
            return Err("empty")
        path = str((folder / text).absolute())
        read = read_token(path) if self.sent_in_header else read_secret(path)
        if isinstance(read, Err):
            return Err(f"the file {read.failure().reason}")
        secret = read.unwrap()
        if len(secret) < self.min_bytes:
            return Err(f"the file holds {len(secret)} bytes")
        return Success(path)


def _parse_ip_address(text: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    # Addresses with a zone such as "%eth0" are rejected: a zone may contain any character and is
    # valid on one machine only.
    if "%" in text:
        return None
    try:
        return ipaddress.ip_address(text)
    except ValueError:
        return None


def parse_address(text: str) -> Result[str, str]:
    """Return an ``ip:port`` in canonical form, or a description of the problem."""
    host, colon, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    ip_address = _parse_ip_address(host[1:-1] if bracketed else host)
    if ip_address is None:
        return Err("not ip:port")
    if not colon or (ip_address.version == 6) is not bracketed:
        return Err("not ip:port")
    if not _WHOLE_PATTERN.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return Err("an address with a wrong port")
    return Success(f"[{ip_address}]:{int(port)}" if bracketed else f"{ip_address}:{int(port)}")
