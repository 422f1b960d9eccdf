"""The options of a settings file and the checks of their values."""

import math
import re
from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_core.registry import Registry

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
IP_PATTERN = re.compile(r"(?:(?:25[0-5]|2[0-4]\d|1?\d?\d)(?:\.(?!$)|$)){4}")


class _Required:
    def __repr__(self) -> str:
        return "required"


REQUIRED = _Required()


class Option(NamedTuple):
    """One setting: a key of the settings file.

    `least` and `most` are the bounds of its value. With `least` 0, a name or an address
    may be empty. The default is that of the field in the settings object, so that it is
    defined in one place only.
    """

    name: str
    type: str
    description: str
    unit: str = ""
    least: float | None = None
    most: float | None = None
    choices: tuple[str, ...] = ()
    section: "Section | None" = None


class Section(NamedTuple):
    """The options of one settings object."""

    model: Callable[..., Any]
    options: tuple[Option, ...]

    def default(self, option: Option) -> Any:
        """Return the default of an option, or REQUIRED if it has none."""
        return self.model._field_defaults.get(option.name, REQUIRED)  # type: ignore[attr-defined]


class SettingsProblem(NamedTuple):
    """A problem in a settings file; `expected` describes a valid value."""

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path or 'settings'}: {self.value}: {self.expected}"


class OptionType(NamedTuple):
    """How the values of one type are checked and described.

    `check` returns the value for the settings object, or raises ValueError with a
    description of a valid value. `schema` returns the JSON Schema of a value.
    """

    check: Callable[[Option, Any], Any]
    schema: Callable[[Option], dict[str, Any]]


OPTION_TYPES: Registry[str, Callable[[], OptionType]] = Registry("option type")
option_type = OPTION_TYPES.register


def option_type_of(option: Option) -> OptionType:
    """Return the registered type of an option."""
    return OPTION_TYPES.get(option.type)()


def bounds_text(option: Option) -> str:
    """Return the bounds of an option as text, or an empty string."""
    if option.least is not None and option.most is not None:
        return f"from {option.least:,} to {option.most:,}"
    if option.least is not None:
        return f"at least {option.least:,}"
    return ""


@option_type("integer")
def _integer() -> OptionType:
    def check(option: Option, value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(f"must be a whole number {bounds_text(option)}".rstrip())
        return int(_check_bounds(option, value))

    return OptionType(
        check, lambda option: {"type": "integer", **_bounds_schema(option)}
    )


@option_type("number")
def _number() -> OptionType:
    def check(option: Option, value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"must be a number {bounds_text(option)}".rstrip())
        return float(_check_bounds(option, value))

    return OptionType(
        check, lambda option: {"type": "number", **_bounds_schema(option)}
    )


@option_type("flag")
def _flag() -> OptionType:
    def check(option: Option, value: Any) -> bool:
        if not isinstance(value, bool):
            raise ValueError("must be true or false")
        return value

    return OptionType(check, lambda option: {"type": "boolean"})


@option_type("text")
def _text() -> OptionType:
    def check(option: Option, value: Any) -> str:
        return _string(value)

    return OptionType(check, lambda option: {"type": "string"})


@option_type("secret")
def _secret() -> OptionType:
    min_length = 16

    def check(option: Option, value: Any) -> str:
        if not isinstance(value, str) or len(value) < min_length:
            raise ValueError(f"must be a string of at least {min_length} characters")
        return value

    return OptionType(check, lambda option: {"type": "string", "minLength": min_length})


@option_type("name")
def _name() -> OptionType:
    def check(option: Option, value: Any) -> str:
        if value == "" and option.least == 0:
            return ""
        if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
            raise ValueError("must be 1 to 128 letters, digits or '._:-'")
        return value

    def schema(option: Option) -> dict[str, Any]:
        pattern = f"^{NAME_PATTERN.pattern}$"
        if option.least == 0:
            pattern = f"^(?:{NAME_PATTERN.pattern})?$"
        return {"type": "string", "pattern": pattern}

    return OptionType(check, schema)


@option_type("names")
def _names() -> OptionType:
    def check(option: Option, value: Any) -> tuple[str, ...]:
        names = value if isinstance(value, list) else []
        valid = all(isinstance(n, str) and NAME_PATTERN.fullmatch(n) for n in names)
        if not names or not valid or len(set(names)) < len(names):
            raise ValueError(
                "must be a list of different names of letters, digits or '._:-'"
            )
        return tuple(names)

    def schema(option: Option) -> dict[str, Any]:
        item = {"type": "string", "pattern": f"^{NAME_PATTERN.pattern}$"}
        return {"type": "array", "items": item, "minItems": 1, "uniqueItems": True}

    return OptionType(check, schema)


@option_type("ip")
def _ip() -> OptionType:
    def check(option: Option, value: Any) -> str:
        if not isinstance(value, str) or not IP_PATTERN.fullmatch(value):
            raise ValueError("must be an IPv4 address such as 10.1.2.3")
        return value

    return OptionType(check, lambda option: {"type": "string", "format": "ipv4"})


@option_type("address")
def _address() -> OptionType:
    def check(option: Option, value: Any) -> str:
        if value == "" and option.least == 0:
            return ""
        ip, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        valid_port = re.fullmatch(r"[1-9][0-9]{0,4}", port) and int(port) < 65_536
        if not valid_port or not IP_PATTERN.fullmatch(ip):
            raise ValueError("must be an IPv4 address and port such as 10.1.2.3:7400")
        return f"{ip}:{port}"

    def schema(option: Option) -> dict[str, Any]:
        pattern = r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[1-9][0-9]{0,4}"
        if option.least == 0:
            pattern = f"({pattern})?"
        return {"type": "string", "pattern": f"^{pattern}$"}

    return OptionType(check, schema)


@option_type("choice")
def _choice() -> OptionType:
    def check(option: Option, value: Any) -> str:
        if value not in option.choices:
            raise ValueError(f"must be one of {', '.join(option.choices)}")
        return value

    return OptionType(check, lambda option: {"enum": list(option.choices)})


def _string(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("must be a string")
    return value


def _check_bounds(option: Option, value: float) -> float:
    below = option.least is not None and value < option.least
    above = option.most is not None and value > option.most
    # Comparisons with NaN are always false, so NaN needs a separate check.
    if below or above or math.isnan(value):
        raise ValueError(f"must be {bounds_text(option)}")
    return value


def _bounds_schema(option: Option) -> dict[str, Any]:
    schema: dict[str, Any] = {}
    if option.least is not None:
        schema["minimum"] = option.least
    if option.most is not None:
        schema["maximum"] = option.most
    return schema
