"""Validation and parsing of flags and environment variables.

Each function takes the name of the flag for its error message.
"""

import ipaddress
from pathlib import Path
from urllib.parse import urlsplit

from burdocksail.core import Instance
from burdocksail.intake import CallerLimits, LimitError, override_limits
from burdocksail.tools._errors import SettingError

MIN_KEY_BYTES = 16


def check_host(flag: str, text: str) -> str:
    """Return the IP address in `text` in its normal form.

    Raises
    ------
    SettingError
        If `text` is not an IP address; host names are not accepted.
    """
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise SettingError(flag, f"{text!r} is not an IP address") from error


def check_port(flag: str, port: int) -> int:
    """Return `port` if it is a port number; 0 stands for any free port.

    Raises
    ------
    SettingError
        If `port` is outside 0 to 65535.
    """
    if not 0 <= port <= 65535:
        raise SettingError(flag, f"{port} is not a port number")
    return port


def check_amount(flag: str, amount: float) -> float:
    """Return `amount` if it is a number of 0 or more.

    Raises
    ------
    SettingError
        If it is not.
    """
    if not 0 <= amount < float("inf"):
        raise SettingError(flag, f"{amount} is not a number of 0 or more")
    return amount


def parse_limits(flag: str, text: str, limits: CallerLimits) -> CallerLimits:
    """Return limits in which ``name=value`` items, separated by commas, replace some.

    Raises
    ------
    SettingError
        If an item is malformed, or names no limit.
    """
    values = {}
    for item in filter(None, (part.strip() for part in text.split(","))):
        name, _, value = item.partition("=")
        try:
            values[name.strip()] = float(value)
        except ValueError as error:
            raise SettingError(flag, f"{item!r} is not name=value") from error
    try:
        return override_limits(limits, values)
    except LimitError as error:
        raise SettingError(flag, str(error)) from error


def check_url(flag: str, text: str) -> str:
    """Return `text` if it is an HTTP URL whose host is an IP address.

    Raises
    ------
    SettingError
        If it is not.
    """
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise SettingError(flag, f"{text!r} is not an HTTP URL")
    check_host(flag, parts.hostname)
    return text


def read_key(flag: str, key: str, key_file: Path | None) -> bytes:
    """Return the platform's shared key, read from `key_file` if one is given.

    Raises
    ------
    SettingError
        If the file cannot be read or the key is shorter than `MIN_KEY_BYTES`.
    """
    if key_file is not None:
        try:
            key = key_file.read_text().strip()
        except OSError as error:
            raise SettingError(
                f"{flag}-file", error.strerror or "cannot be read"
            ) from None
    if len(key.encode()) < MIN_KEY_BYTES:
        raise SettingError(flag, f"must be at least {MIN_KEY_BYTES} bytes long")
    return key.encode()


def parse_seeds(flag: str, text: str) -> tuple[Instance, ...]:
    """Parse ``name@domain=host:port`` items, separated by commas.

    Returns
    -------
    tuple of Instance
        The instances in the given order, without an incarnation.

    Raises
    ------
    SettingError
        If an item is malformed, its host is not an IP address or its port is
        out of range.
    """
    seeds = []
    for item in filter(None, (part.strip() for part in text.split(","))):
        identity, _, address = item.partition("=")
        name, _, domain = identity.partition("@")
        host, _, port = address.rpartition(":")
        if not (name and domain and host and port.isdigit()):
            raise SettingError(flag, f"{item!r} is not name@domain=host:port")
        check_host(flag, host)
        seeds.append(Instance(name, "", domain, host, check_port(flag, int(port))))
    return tuple(seeds)
