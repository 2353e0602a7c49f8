"""Reads untrusted nested mappings into typed values, with errors that name the invalid field."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

_Choice = TypeVar("_Choice", bound=Enum)
_INTEGER_MAX = 2**53  # a double represents every integer up to here exactly


class SettingsError(ValueError):
    """A setting is missing or invalid; the message begins with the path of its key."""


class SettingsReader:
    """Reads the values of one mapping.  A null value is treated as absent.

    Every method raises `SettingsError`, which names the path of the key, for a value of the wrong type or out of range.
    """

    def __init__(self, values: object, path: str = "") -> None:
        """`path`: path of the mapping within the settings; empty for the top level."""
        if not isinstance(values, Mapping):
            raise SettingsError(f"{path or 'settings'}: expected a mapping, not {values!r:.60}")
        self._values = values
        self._prefix = f"{path}." if path else ""

    def section(self, key: str) -> SettingsReader:
        """The mapping under a key; empty if absent."""
        value = self._value(key)
        return SettingsReader({} if value is None else value, self._prefix + key)

    def sections(self, key: str) -> list[SettingsReader]:
        """The list of mappings under a key; empty if absent."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._error(key, "a list")
        return [
            SettingsReader(section, f"{self._prefix}{key}[{index}]") for index, section in enumerate(value)
        ]

    def text(self, key: str, default: str | None = None) -> str:
        """A string; required if there is no default."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._error(key, "a string")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of strings; empty if absent."""
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self._error(key, "a list of strings")
        if not all(isinstance(item, str) for item in value):
            raise self._error(key, "a list of strings")
        return tuple(value)

    def flag(self, key: str, default: bool) -> bool:
        """A Boolean."""
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._error(key, "true or false")
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = _INTEGER_MAX) -> float:
        """A number from `low` to `high`, inclusive."""
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise self._error(key, f"a number from {low:g} to {high:g}")
        return float(value)

    def integer(self, key: str, default: int | None, low: int = 0) -> int:
        """An integer from `low` to `_INTEGER_MAX`; required if the default is None."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not low <= value <= _INTEGER_MAX:
            raise self._error(key, f"an integer from {low} to {_INTEGER_MAX}")
        if value != int(value):
            raise self._error(key, "an integer")
        return int(value)

    def choice(self, key: str, enumeration: type[_Choice], default: _Choice) -> _Choice:
        """The enumeration member with this value."""
        value = self._value(key)
        if value is None:
            return default
        for member in enumeration:
            if value == member.value:
                return member
        raise self._error(key, "one of " + ", ".join(str(member.value) for member in enumeration))

    def _value(self, key: str) -> Any:
        return self._values.get(key)

    def _error(self, key: str, expected: str) -> SettingsError:
        return SettingsError(f"{self._prefix}{key}: expected {expected}, not {self._value(key)!r:.60}")
