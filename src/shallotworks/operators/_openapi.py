"""Generates the OpenAPI document of the operators' API from its routes."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from typing import Any, Literal

from pydantic import TypeAdapter

from shallotworks import __version__
from shallotworks.errors import ErrorKind, attributes_of

from ._calls import ErrorBody
from ._routes import PREFIX, Route

__all__ = ["describe_api"]

OPENAPI_VERSION = "3.1.0"
COMMON_ERRORS = (
    ErrorKind.INVALID_REQUEST,
    ErrorKind.UNAUTHORISED,
    ErrorKind.TOO_LARGE,
    ErrorKind.STOPPING,
    ErrorKind.DEADLINE_EXCEEDED,
    ErrorKind.INTERNAL,
)
_REF_TEMPLATE = "#/components/schemas/{model}"
_SchemaInput = tuple[str, Literal["validation"], TypeAdapter[Any]]
_PATH_ARGUMENT = re.compile(r"{(\w+)}")


def describe_api(routes: Iterable[Route]) -> bytes:
    """Return the OpenAPI document as JSON; equal routes give equal bytes."""
    routes = tuple(routes)
    schemas = _Schemas(routes)
    paths: dict[str, Any] = {}
    for route in routes:
        operation = _operation(route, schemas)
        paths.setdefault(PREFIX + route.path, {})[route.method.lower()] = operation
    document = {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "shallotworks operators' API", "version": __version__},
        "security": [{"token": []}],
        "paths": paths,
        "components": {
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
            "schemas": schemas.definitions,
        },
    }
    return (json.dumps(document, indent=2) + "\n").encode()


class _Schemas:
    """JSON schemas of all request and response types of the routes."""

    __slots__ = ("_schemas", "definitions")

    def __init__(self, routes: Iterable[Route]) -> None:
        kinds: list[Any] = [ErrorBody]
        for route in routes:
            kinds.extend(kind for kind in (route.answer, route.body) if kind is not None)
        inputs: list[_SchemaInput] = [
            (repr(kind), "validation", TypeAdapter(kind)) for kind in kinds
        ]
        self._schemas, shared = TypeAdapter.json_schemas(inputs, ref_template=_REF_TEMPLATE)
        self.definitions = dict(sorted(shared.get("$defs", {}).items()))

    def schema_of(self, kind: Any) -> Any:
        """Return the schema of a type."""
        return self._schemas[(repr(kind), "validation")]


def _operation(route: Route, schemas: _Schemas) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "summary": route.summary,
        "parameters": list(_parameters(route)),
        "responses": _responses(route, schemas),
    }
    if route.body is not None:
        operation["requestBody"] = {
            "required": True,
            "content": {"application/json": {"schema": schemas.schema_of(route.body)}},
        }
    return operation


def _parameters(route: Route) -> Iterable[dict[str, Any]]:
    string_schema = {"type": "string"}
    for name in _PATH_ARGUMENT.findall(route.path):
        yield {"name": name, "in": "path", "required": True, "schema": string_schema}
    for name, meaning in route.query.items():
        yield {"name": name, "in": "query", "description": meaning, "schema": string_schema}
    yield {
        "name": "Operator",
        "in": "header",
        "description": "Who calls; kept in the time line.",
        "required": route.method != "GET",
        "schema": string_schema,
    }


def _responses(route: Route, schemas: _Schemas) -> dict[str, Any]:
    answer = {} if route.answer is None else schemas.schema_of(route.answer)
    responses: dict[str, Any] = {
        "200": {"description": "Done.", "content": {"application/json": {"schema": answer}}}
    }
    for kind in (*COMMON_ERRORS, *route.errors):
        status = str(attributes_of(kind).status)
        existing = responses.get(status)
        description = f"{existing['description']}, {kind.value}" if existing else kind.value
        content = {"application/json": {"schema": schemas.schema_of(ErrorBody)}}
        responses[status] = {"description": description, "content": content}
    return dict(sorted(responses.items()))
