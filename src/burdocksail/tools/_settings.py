"""Checks of flags and environment variables."""

import ipaddress
from pathlib import Path
from urllib.parse import urlsplit

from burdocksail.core import Instance
from burdocksail.tools._errors import SettingError

MIN_KEY_BYTES = 16


def check_host(flag: str, text: str) -> str:
    """Return `text` if it is an IP address."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise SettingError(flag, f"{text!r} is not an IP address") from error


def check_port(flag: str, port: int) -> int:
    """Return `port` if it is a port number; 0 stands for any free port."""
    if not 0 <= port <= 65535:
        raise SettingError(flag, f"{port} is not a port number")
    return port


def check_url(flag: str, text: str) -> str:
    """Return `text` if it is an HTTP URL whose host is an IP address."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise SettingError(flag, f"{text!r} is not an HTTP URL")
    check_host(flag, parts.hostname)
    return text


def read_key(flag: str, key: str, key_file: Path | None) -> bytes:
    """Return the platform's shared key, from a file if one is named."""
    if key_file is not None:
        try:
            key = key_file.read_text().strip()
        except OSError as error:
            raise SettingError(f"{flag}-file", error.strerror or "unreadable") from None
    if len(key.encode()) < MIN_KEY_BYTES:
        raise SettingError(flag, f"needs at least {MIN_KEY_BYTES} bytes")
    return key.encode()


def parse_seeds(flag: str, text: str) -> tuple[Instance, ...]:
    """Parse ``name@domain=host:port`` items, separated by commas."""
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
