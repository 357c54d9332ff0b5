"""The log line of a configuration says what the version changes."""

import asyncio
import json
import unittest

from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.platform._configuration import (
    CONFIGURATION_KEY,
    MAX_NAMES_LOGGED,
    OperatorRecords,
)
from shallotworks.store import Item


class FieldLog(StructuredLog):
    """A log that keeps the fields of each line."""

    __slots__ = ("fields",)

    def __init__(self) -> None:
        super().__init__(process="test", write=len)
        self.fields: list[dict[str, object]] = []

    def line(self, event: str, **fields: object) -> None:
        """Keep a line."""
        self.fields.append({"event": event, **fields})


def _route(name: str, service: str, timeout_ms: int = 3000) -> dict[str, object]:
    return {
        "name": name,
        "host": "h",
        "prefix": f"/{name}/",
        "service": service,
        "timeoutMs": timeout_ms,
    }


def _services(*names: str, standby: str = "") -> list[dict[str, object]]:
    return [{"name": name, "standby": name == standby} for name in names]


class ConfigurationLineTests(unittest.TestCase):
    def apply(self, *bodies: dict[str, object]) -> list[dict[str, object]]:
        """Return the fields of the log lines that versions of the configuration cause."""

        async def scenario() -> list[dict[str, object]]:
            log = FieldLog()
            records = OperatorRecords(
                on_configuration=lambda configuration: None, log=log, metrics=Metrics()
            )
            for version, body in enumerate(bodies, start=1):
                value = json.dumps({"version": version, **body}).encode()
                records.on_write(
                    Item(
                        key=CONFIGURATION_KEY, value=value, revision=version, created=1, lease_id=0
                    )
                )
            return log.fields

        return asyncio.run(scenario())

    def test_each_kind_of_change_is_named(self) -> None:
        """A queue that went to another service could not be told from a changed time limit."""
        first, second = self.apply(
            {
                "routes": [_route("a", "s"), _route("b", "s"), _route("c", "s"), _route("d", "s")],
                "services": _services("s", "t", standby="t"),
            },
            {
                "routes": [
                    _route("a", "s"),
                    _route("b", "u"),
                    _route("c", "s", 2000),
                    _route("e", "s"),
                ],
                "services": _services("s", "u"),
            },
        )
        self.assertNotIn("queues_added", first)
        expected = {
            "queues_added": ["e"],
            "queues_removed": ["d"],
            "queues_rerouted": [["b", "s", "u"]],
            "queues_changed": 2,
            "services_added": ["u"],
            "services_removed": ["t"],
            "standby_changed": ["t"],
        }
        self.assertEqual(expected, {key: second[key] for key in expected})

    def test_the_line_is_bounded(self) -> None:
        """A version that adds many queues and services names a few of each."""
        many = [f"n{number}" for number in range(100)]
        _, line = self.apply(
            {"routes": [], "services": []},
            {
                "routes": [_route(name, name) for name in many],
                "services": _services(*many),
            },
        )
        self.assertEqual(MAX_NAMES_LOGGED, len(line["queues_added"]))  # type: ignore[arg-type]
        self.assertEqual(MAX_NAMES_LOGGED, len(line["services_added"]))  # type: ignore[arg-type]


if __name__ == "__main__":
    unittest.main()
