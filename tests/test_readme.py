"""Tests that the example in the README runs unchanged."""

import re
from pathlib import Path


def test_the_example_of_the_readme_runs():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    names = {}
    exec(compile(example, "README.md", "exec"), names)
    assert names["actions"]
