"""The configuration of the operators' program."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from ._errors import CommandError
from ._exit_codes import ExitCode

ENTRY_VARIABLE = "MARIGOLDPATH_ENTRY"
KEY_VARIABLE = "MARIGOLDPATH_KEY"
FILE_KEYS = ("entry", "key", "reply_s")
MAX_REPLY_S = 600


class ClientConfig(NamedTuple):
    """The entry hosts to try in order, the access key and the reply timeout."""

    entries: tuple[str, ...] = ()
    key: str = ""
    reply_s: float = 10.0
    as_json: bool = False


class CommandOptions(NamedTuple):
    """The command-line options; an option that was not given is empty."""

    entry: tuple[str, ...] = ()
    key: str = ""
    file: str = ""
    as_json: bool = False


def client_config(
    options: CommandOptions, environment: Mapping[str, str]
) -> ClientConfig:
    """Return the configuration from the options, the environment and the file.

    Options override the environment, which overrides the file. Raises CommandError
    if a value is invalid.
    """
    file = _read_file(options.file) if options.file else {}
    entries = (
        options.entry
        or _split(environment.get(ENTRY_VARIABLE, ""))
        or _file_entries(file)
    )
    for entry in entries:
        _check_address(entry)
    key = options.key or environment.get(KEY_VARIABLE, "") or _text(file, "key")
    if any(not 32 < ord(character) < 127 for character in key):
        raise _usage_error("the key must be printable ASCII without spaces")
    return ClientConfig(entries, key, _reply_s(file), options.as_json)


def _usage_error(message: str) -> CommandError:
    return CommandError(ExitCode.WRONG_USE, message)


def _split(text: str) -> tuple[str, ...]:
    return tuple(part for part in text.replace(",", " ").split() if part)


def _check_address(entry: str) -> None:
    ip, _, port = entry.rpartition(":")
    if not ip or not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        raise _usage_error(
            f"entry host {entry!r} must be an IP address and port such as 10.1.2.3:7400"
        )


def _read_file(name: str) -> dict[str, Any]:
    try:
        value = json.loads(Path(name).read_text(encoding="utf-8"))
    except OSError as error:
        raise _usage_error(f"cannot read {name}: {error.strerror}") from None
    except ValueError as error:
        raise _usage_error(f"{name} is not JSON: {error}") from None
    if not isinstance(value, dict):
        raise _usage_error(f"{name} must hold a JSON object")
    unknown = sorted(set(value) - set(FILE_KEYS))
    if unknown:
        known = ", ".join(FILE_KEYS)
        raise _usage_error(f"{name}: unknown key {unknown[0]!r}; known keys: {known}")
    return value


def _file_entries(file: dict[str, Any]) -> tuple[str, ...]:
    value = file.get("entry", [])
    if isinstance(value, str):
        return _split(value)
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise _usage_error("entry in the file must be a list of addresses")
    return tuple(value)


def _text(file: dict[str, Any], name: str) -> str:
    value = file.get(name, "")
    if not isinstance(value, str):
        raise _usage_error(f"{name} in the file must be a string")
    return value


def _reply_s(file: dict[str, Any]) -> float:
    value = file.get("reply_s", ClientConfig().reply_s)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _usage_error("reply_s in the file must be a number of seconds")
    if not 0 < value <= MAX_REPLY_S:
        raise _usage_error(
            f"reply_s in the file must be above 0 and at most {MAX_REPLY_S}"
        )
    return float(value)
