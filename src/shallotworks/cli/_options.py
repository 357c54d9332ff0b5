"""Options that several commands share, and the client that is built from them."""

from __future__ import annotations

import getpass
import re
from typing import Annotated

import typer
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind
from shallotworks.operators import ErrorBody
from shallotworks.settings import parse_address, read_token

from ._client import OperatorsClient
from ._failures import make_error

__all__ = [
    "AddressOption",
    "AddressesOption",
    "JsonOption",
    "OperatorOption",
    "TokenFileOption",
    "open_client",
]

ADDRESS_VARIABLE = "SHALLOTWORKS_ADDRESS"
TOKEN_FILE_VARIABLE = "SHALLOTWORKS_TOKEN_FILE"
OPERATOR_VARIABLE = "SHALLOTWORKS_OPERATOR"
DEFAULT_ADDRESS = "127.0.0.1:8081"
MAX_OPERATOR_CHARACTERS = 63

AddressOption = Annotated[
    str,
    typer.Option(
        "--address", envvar=ADDRESS_VARIABLE, help="ip:port of an instance's operators' port."
    ),
]
AddressesOption = Annotated[
    list[str],
    typer.Option(
        "--address",
        envvar=ADDRESS_VARIABLE,
        help="ip:port of an instance's operators' port; may be repeated.",
    ),
]
TokenFileOption = Annotated[
    str,
    typer.Option(
        "--token-file", envvar=TOKEN_FILE_VARIABLE, help="File that holds the operators' token."
    ),
]
OperatorOption = Annotated[
    str,
    typer.Option(
        "--operator",
        envvar=OPERATOR_VARIABLE,
        help="Your name for the timeline; the login name by default.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON document.")]


def open_client(
    *, address: str, token_file: str, operator: str = ""
) -> Result[OperatorsClient, ErrorBody]:
    """Return a client for one instance, or an error if an option is invalid."""
    parsed = parse_address(address)
    if isinstance(parsed, Err):
        reason = f"--address {address!r} is {parsed.failure()}; allowed: ip:port"
        return Err(make_error(ErrorKind.INVALID_REQUEST, reason))
    if not token_file:
        reason = f"no token file given; set --token-file or {TOKEN_FILE_VARIABLE}"
        return Err(make_error(ErrorKind.INVALID_SETTINGS, reason))
    token = read_token(token_file)
    if isinstance(token, Err):
        reason = f"the token file {token_file} {token.failure().reason}"
        return Err(make_error(ErrorKind.INVALID_SETTINGS, reason))
    if operator and not (operator.isascii() and operator.isprintable()):
        reason = "--operator contains a character that an HTTP header can't carry"
        return Err(make_error(ErrorKind.INVALID_REQUEST, reason))
    client = OperatorsClient(
        address=parsed.unwrap(),
        token=token.unwrap().decode("ascii"),
        operator=operator or _login_name(),
    )
    return Success(client)


def _login_name() -> str:
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        name = "unknown"
    return (
        re.sub(r"[^A-Za-z0-9._@-]", "-", name).strip("._@-")[:MAX_OPERATOR_CHARACTERS] or "unknown"
    )
