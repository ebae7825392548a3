"""Routes, request classes and costs of a description: precedence, canonical paths, defaults, errors."""

from __future__ import annotations

import copy
import re
from pathlib import Path

import pytest
from harness.cost import cost_ratio
from hypothesis import given
from hypothesis import strategies as st

from orchidlane import policy, routes
from orchidlane.routes import Match, Miss

ROOT = Path(__file__).parent.parent
DESCRIPTION_FILE = ROOT / "examples" / "materials" / "openapi.yaml"
SMALL_DESCRIPTION = {
    "openapi": "3.0.3",
    "info": {"title": "t", "version": "1"},
    "paths": {"/a": {"post": {"responses": {"200": {"description": "ok"}}}}},
}


@pytest.fixture(scope="module")
def materials() -> routes.Generation:
    """Return the generation of the example's description."""
    return routes.build(
        routes.load_description(DESCRIPTION_FILE.read_bytes(), "openapi.yaml"), "openapi.yaml"
    )


@pytest.mark.parametrize(
    ("line", "name", "cost"),
    [
        ("GET /v1/sheets/steel", "readSheet", 1),
        ("HEAD /v1/sheets/steel", "readSheet", 1),
        ("GET /v1/sheets/latest", "readLatest", 1),
        ("GET /v1/sheets/%6Catest", "readLatest", 1),
        ("GET /v1/x/../sheets/./latest", "readLatest", 1),
        ("GET /v1/sheets/a%20b?q=/reports", "readSheet", 1),
        ("GET http://other/v1/sheets/steel?x", "readSheet", 1),
        ("GET /v1/sheets/latest/curves/s-n.png", "readCurve", 2),
        ("PUT /v1/tests/7", "uploadTest", 2),
        ("POST /v1/reports", "issueReport", 3),
    ],
)
def test_a_request_matches_an_operation_with_its_cost(materials, line, name, cost):
    method, target = line.split(" ")
    match = materials.match(method, target.encode())
    assert isinstance(match, Match)
    assert (match.operation.name, match.operation.cost) == (name, cost)


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /sheets/steel", 404),
        ("GET /v1/sheets/", 404),
        ("GET /v1/sheets/a/b", 404),
        ("GET /v1/sheets/a%2Fb", 400),
        ("GET /v1//sheets/a", 400),
        ("GET /v1/sheets/a\\b", 400),
        ("GET /../v1/sheets/a", 400),
        ("GET /v1/sheets/%zz", 400),
        ("DELETE /v1/reports", 405),
        ("OPTIONS /v1/reports", 204),
    ],
)
def test_a_request_without_an_operation_has_the_status_for_its_reason(materials, line, status):
    method, target = line.split(" ")
    miss = materials.match(method, target.encode())
    assert isinstance(miss, Miss)
    assert miss.status == status
    if status in (204, 405):
        assert miss.allow == ("OPTIONS", "POST")


def test_request_classes_are_read_from_the_extension(materials):
    classes = dict(zip(materials.class_names, materials.classes, strict=True))
    assert classes["report-issue"].idempotency is policy.Idempotency.NOT_IDEMPOTENT
    upload = classes["test-upload"]
    assert (upload.idempotency, upload.deduplication_scope, upload.deduplication_window_us) == (
        policy.Idempotency.IDEMPOTENT_WITH_KEY,
        policy.DeduplicationScope.CELL,
        5_000_000,
    )
    assert materials.match("PUT", b"/v1/tests/1").operation.idempotency_header == b"idempotency-key"
    assert materials.match("POST", b"/v1/reports").operation.give_up_header == b"give-up-after-ms"


def test_an_operation_is_not_idempotent_and_costs_one_unit_by_default():
    generation = routes.build(SMALL_DESCRIPTION, "f")
    assert generation.classes[0].idempotency is policy.Idempotency.NOT_IDEMPOTENT
    assert generation.operations[0].cost == 1


def build_error(**changes) -> str:
    """Return the error text for the small description with changes to its operation."""
    description = copy.deepcopy(SMALL_DESCRIPTION)
    operation = description["paths"]["/a"]["post"]
    operation.update(changes)
    with pytest.raises(routes.DescriptionError) as caught:
        routes.build(description, "f.json")
    return str(caught.value)


def test_each_problem_of_a_description_is_reported_with_its_location():
    assert "f.json: paths//a/post/x-orchidlane: " in build_error(**{"x-orchidlane": {"cots": 1}})
    assert "found effect 'often'" in build_error(**{"x-orchidlane": {"effect": "often"}})
    assert "needs a window" in build_error(**{"x-orchidlane": {"effect": "keyed"}})
    assert "not a duration" in build_error(**{"x-orchidlane": {"aim": "5"}})
    assert "has no target" in build_error(parameters=[{"$ref": "#/components/parameters/x"}])
    assert "f.json: paths//a/post" in build_error(responses=3)
    with pytest.raises(routes.DescriptionError, match=r"line 2"):
        routes.load_description(b"{\n,}", "f")
    with pytest.raises(routes.DescriptionError, match="allowed: 3"):
        routes.build({"openapi": "2.0"}, "f")


def test_a_template_that_matches_the_same_paths_as_another_is_rejected():
    tree: routes.Tree[int] = routes.Tree()
    tree.add("/a/{x}", 1)
    with pytest.raises(ValueError, match="same paths"):
        tree.add("/a/{y}", 2)


segment = st.sampled_from(["a", "b", "{x}", "{y}", "c.{z}", "{v}.d", "e"])
template = st.lists(segment, min_size=1, max_size=4).map(lambda parts: "/" + "/".join(parts))


@given(st.lists(template, max_size=12), st.lists(st.sampled_from(["a", "b", "c.d", "e", "z"]), max_size=4))
def test_the_tree_finds_a_match_whenever_a_regular_expression_does(templates, parts):
    tree: routes.Tree[str] = routes.Tree()
    added_templates = []
    for text in templates:
        try:
            tree.add(text, text)
            added_templates.append(text)
        except ValueError:
            continue
    path = "/" + "/".join(parts)
    match = tree.match(path)
    matching_templates = [
        t for t in added_templates if re.fullmatch(re.sub(r"\\{\w\\}", "[^/]+", re.escape(t)), path)
    ]
    if not matching_templates:
        assert match is None
    else:
        assert match is not None
        assert match[0] in matching_templates
        concrete = [t for t in matching_templates if "{" not in t]
        assert not concrete or match[0] == path


@given(st.binary(max_size=20))
def test_a_canonical_path_is_its_own_canonical_form(tail):
    try:
        path = routes.canonical_path(b"/" + tail)
    except routes.PathError:
        return
    assert routes.canonical_path(path.encode("latin-1")) == path
    assert "/./" not in path
    assert "/../" not in path


@pytest.mark.parametrize("unit", ["a", "-", "a-", "a.", "a-b."])
@pytest.mark.parametrize("end", ["", "-x.json", ".json!", "-x"])
def test_a_segment_with_several_parameters_costs_time_in_proportion_to_its_length(unit, end):
    """Guards against paths that take processor time out of proportion to their length."""
    tree: routes.Tree[int] = routes.Tree()
    tree.add("/{a}-{b}.{c}.json", 1)

    def path(length: int) -> str:
        return "/" + (unit * length)[:length] + end

    assert cost_ratio(tree.match, path(500), path(8_000)) <= 48  # proportional: 16, quadratic: 256


@given(
    st.sampled_from(["{a}-{b}", "x{a}-{b}.{c}", "{a}{b}", "{a}--{b}-x", "{a}.{b}.{c}y"]),
    st.text("ax-.y", max_size=12),
)
def test_parameters_of_a_segment_are_as_short_as_possible(template, segment):
    tree: routes.Tree[int] = routes.Tree()
    tree.add(f"/{template}", 1)
    expected = re.fullmatch(re.sub(r"\\{(\w)\\}", r"(?P<\1>.+?)", re.escape(template)), segment)
    match = tree.match(f"/{segment}")
    assert (match and match[1]) == (expected and expected.groupdict())
