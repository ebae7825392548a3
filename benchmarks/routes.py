"""Compares path matching by the radix tree and by a list of regular expressions, for 10 to 20,000 routes.

``python -m benchmarks.routes``. The list is searched in the order that the OpenAPI specification requires:
concrete paths first.
"""

from __future__ import annotations

import argparse
import random
import re

from benchmarks.timing import measure_seconds
from orchidlane.routes import Tree

SEGMENTS = [f"w{number}" for number in range(400)]
CONCRETE_SEGMENT_SHARE = 0.7
PATH_COUNT = 200
TREE_REPEATS = 50  # a pass over all paths is too short to be timed alone


def random_templates(count: int, rng: random.Random) -> list[str]:
    """Return ``count`` random path templates, all different."""
    templates: dict[str, None] = {}
    while len(templates) < count:
        parts = [
            rng.choice(SEGMENTS) if rng.random() < CONCRETE_SEGMENT_SHARE else f"{{p{index}}}"
            for index in range(rng.randint(2, 5))
        ]
        templates["/" + "/".join([rng.choice(SEGMENTS), *parts])] = None
    return list(templates)


def random_paths(templates: list[str], rng: random.Random) -> list[str]:
    """Return random paths, each of which matches one of the templates."""
    return [
        re.sub(r"\{\w+\}", lambda _: f"v{rng.randrange(1000)}", rng.choice(templates))
        for _ in range(PATH_COUNT)
    ]


def build_tree(templates: list[str]) -> tuple[Tree[str], list[str]]:
    """Return a tree and the templates in it; a template that conflicts with an earlier one is left out."""
    tree: Tree[str] = Tree()
    added = []
    for template in templates:
        try:
            tree.add(template, template)
        except ValueError:
            continue
        added.append(template)
    return tree, added


def build_patterns(templates: list[str]) -> list[re.Pattern[str]]:
    """Return a regular expression for each template."""
    return [re.compile(re.sub(r"\\{\w+\\}", "[^/]+", re.escape(template))) for template in templates]


def print_line(route_count: int) -> None:
    """Measure both ways with ``route_count`` routes, and print a line of the table."""
    rng = random.Random(1)
    tree, templates = build_tree(random_templates(route_count, rng))
    templates.sort(key=lambda template: template.count("{"))
    patterns = build_patterns(templates)
    paths = random_paths(templates, rng)

    def match_by_tree() -> None:
        for _ in range(TREE_REPEATS):
            for path in paths:
                assert tree.match(path)

    def match_by_list() -> None:
        for path in paths:
            assert next(pattern for pattern in patterns if pattern.fullmatch(path))

    tree_us = measure_seconds(match_by_tree) / TREE_REPEATS / len(paths) * 1e6
    list_us = measure_seconds(match_by_list) / len(paths) * 1e6
    print(f"{route_count:6} {tree_us:10.2f} {list_us:10.2f} {list_us / tree_us:11.1f}", flush=True)


def main() -> None:
    """Print a table with a line for each number of routes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routes", type=int, nargs="*", default=[10, 100, 1_000, 20_000])
    route_counts = parser.parse_args().routes
    print("routes    tree us    list us   list/tree")
    for route_count in route_counts:
        print_line(route_count)


if __name__ == "__main__":
    main()
