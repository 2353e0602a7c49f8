"""One table of the operator file: reads typed values and reports errors by field."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from topazbank.core.endpoints import HTTP, PROTOCOLS
from topazbank.core.net import Address, parse_address

TEXT_CHARACTERS_MAX = 200


class ConfigError(ValueError):
    """A configuration field is missing or invalid; the text is `field: problem`."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field


class ConfigTable:
    """One table; each reading method raises ConfigError if the field's value is invalid."""

    def __init__(self, path: str, values: Any, known_fields: Iterable[str]) -> None:
        """`path` is the table's name with a trailing dot, or "" for the whole file.

        An unknown field raises ConfigError: it would have no effect, and is most likely a misspelling.
        """
        self._path = path
        if not isinstance(values, Mapping):
            raise ConfigError(path.rstrip("."), f"expected a table, not {values!r:.40}")
        self._values = values
        for name in values:
            if name not in known_fields:
                raise ConfigError(path + name, f"unknown key; expected one of {', '.join(known_fields)}")

    def error(self, name: str, expected: str) -> ConfigError:
        """The error for a field whose value is not secret; the text includes the value."""
        return ConfigError(self._path + name, f"expected {expected}, not {self._values[name]!r:.40}")

    def table(self, name: str, known_fields: Iterable[str]) -> ConfigTable:
        """A nested table; empty if absent."""
        return ConfigTable(f"{self._path}{name}.", self._values.get(name, {}), known_fields)

    def flag(self, name: str, default: bool = False) -> bool:
        """A boolean."""
        value = self._values.get(name, default)
        if not isinstance(value, bool):
            raise self.error(name, "true or false")
        return value

    def integer(self, name: str, default: int, low: int, high: int) -> int:
        """An integer from `low` to `high`."""
        value = self._values.get(name, default)
        if type(value) is not int or not low <= value <= high:
            raise self.error(name, f"an integer from {low} to {high}")
        return value

    def number(self, name: str, default: float, low: float, high: float) -> float:
        """An integer or a float from `low` to `high`."""
        value = self._values.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise self.error(name, f"a number from {low:g} to {high:g}")
        return float(value)

    def text(self, name: str, default: str) -> str:
        """A string of at most TEXT_CHARACTERS_MAX characters."""
        value = self._values.get(name, default)
        if not isinstance(value, str) or len(value) > TEXT_CHARACTERS_MAX:
            raise self.error(name, f"a string of at most {TEXT_CHARACTERS_MAX} characters")
        return value

    def texts(self, name: str, default: tuple[str, ...] = ()) -> tuple[str, ...]:
        """A list of strings."""
        value = self._values.get(name, list(default))
        if not isinstance(value, list) or not all(isinstance(text, str) for text in value):
            raise self.error(name, "a list of strings")
        return tuple(value)

    def choice(self, name: str, default: str, choices: tuple[str, ...]) -> str:
        """One of the strings in `choices`."""
        value = self.text(name, default)
        if value not in choices:
            raise ConfigError(self._path + name, f"expected {' or '.join(choices)}, not {value!r:.40}")
        return value

    def address(self, name: str) -> Address | None:
        """An address `host:port`; None if absent or empty."""
        value = self.text(name, "")
        try:
            return parse_address(value) if value else None
        except ValueError as error:
            raise ConfigError(self._path + name, str(error)) from None

    def addresses(self, name: str) -> tuple[Address, ...]:
        """A list of addresses `host:port`."""
        try:
            return tuple(parse_address(text) for text in self.texts(name))
        except ConfigError:
            raise
        except ValueError as error:
            raise ConfigError(self._path + name, str(error)) from None

    def protocol(self, name: str, default: str) -> str:
        """The name of a protocol used to call servers."""
        value = self._values.get(name, default)
        if value not in PROTOCOLS:
            raise self.error(name, " or ".join(PROTOCOLS))
        return str(value)

    def protocols_by_pod(self, name: str) -> dict[int, str]:
        """A table of protocols by pod number; TOML keys are strings, converted to int here."""
        values = self._values.get(name, {})
        if not isinstance(values, Mapping):
            raise self.error(name, "a table of pod numbers")
        table = ConfigTable(f"{self._path}{name}.", values, values)
        protocols = {}
        for pod in values:
            if not pod.lstrip("-").isdecimal():
                raise ConfigError(f"{self._path}{name}.{pod}", "expected a pod number as the key")
            protocols[int(pod)] = table.protocol(pod, HTTP)
        return protocols

    def path(self, name: str, default: str) -> str:
        """An absolute ZooKeeper path, or the empty string."""
        value = self._values.get(name, default)
        if not isinstance(value, str) or (value and not _is_absolute_path(value)):
            raise self.error(name, "a path such as /lodge/nodes")
        return value

    def masked_text(self, name: str, bytes_max: int) -> str:
        """A secret string of at most `bytes_max` bytes; errors omit the value."""
        value = self._values.get(name, "")
        if not isinstance(value, str) or len(value.encode()) > bytes_max:
            raise ConfigError(self._path + name, f"expected a string of at most {bytes_max} bytes")
        return value

    def credentials(self, name: str) -> str:
        """Credentials as `user:password`, "" if absent; errors omit the value."""
        value = self._values.get(name, "")
        if not isinstance(value, str) or (value and not value.partition(":")[2]):
            raise ConfigError(self._path + name, "expected user:password")
        return value


def _is_absolute_path(text: str) -> bool:
    root, *names = text.split("/")
    return root == "" and bool(names) and all(name not in ("", ".", "..") for name in names)
