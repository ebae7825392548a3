"""Matching a path: the radix tree beside a plain list of regular expressions, at 10 to 20,000 routes.

The list is searched in the order of the specification: concrete paths first. ``python -m benchmarks.routes``.
"""

from __future__ import annotations

import random
import re
import time

from orchidlane.routes import Tree

WORDS = [f"w{number}" for number in range(400)]


def templates(count: int, rng: random.Random) -> list[str]:
    found: dict[str, None] = {}
    while len(found) < count:
        parts = [rng.choice(WORDS) if rng.random() < 0.7 else f"{{p{i}}}" for i in range(rng.randint(2, 5))]
        found["/" + "/".join([rng.choice(WORDS), *parts])] = None
    return list(found)


def paths_of(chosen: list[str], rng: random.Random) -> list[str]:
    return [re.sub(r"\{\w+\}", lambda _: f"v{rng.randrange(1000)}", rng.choice(chosen)) for _ in range(200)]


def main() -> None:
    rng = random.Random(1)
    print("routes    tree us    list us   list/tree")
    for count in (10, 100, 1_000, 20_000):
        chosen = templates(count, rng)
        tree: Tree[str] = Tree()
        kept = []
        for one in chosen:
            try:
                tree.add(one, one)
                kept.append(one)
            except ValueError:
                continue
        kept.sort(key=lambda one: one.count("{"))
        plain = [(re.compile(re.sub(r"\\{\w+\\}", "[^/]+", re.escape(one))), one) for one in kept]
        paths = paths_of(kept, rng)
        began = time.perf_counter()
        repeats = 50
        for _ in range(repeats):
            for path in paths:
                assert tree.match(path)
        by_tree = (time.perf_counter() - began) / repeats / len(paths) * 1e6
        began = time.perf_counter()
        for path in paths:
            assert next(one for pattern, one in plain if pattern.fullmatch(path))
        by_list = (time.perf_counter() - began) / len(paths) * 1e6
        print(f"{count:6} {by_tree:10.2f} {by_list:10.2f} {by_list / by_tree:11.1f}", flush=True)


if __name__ == "__main__":
    main()
