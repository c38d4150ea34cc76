"""The build step of the deploy file, in a copy of the files that it reads."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]


@pytest.fixture
def tree(tmp_path):
    """A package of one module, and libraries that are installed already."""
    for name in ("bin/install-to", "pyproject.toml"):
        (tmp_path / name).parent.mkdir(exist_ok=True)
        shutil.copy(ROOT / name, tmp_path / name)
    (tmp_path / "bilberryring").mkdir()
    (tmp_path / "bilberryring" / "__init__.py").write_text("print('one')\n")
    (tmp_path / "deps").mkdir()
    (tmp_path / "deps" / ".complete").touch()
    return tmp_path


def build(tree):
    subprocess.run([tree / "bin" / "install-to", "deps"], cwd=tree, check=True)


def test_modules_are_compiled_by_the_build_and_not_at_each_start(tree):
    build(tree)
    completed = subprocess.run(
        [sys.executable, "-v", "-c", "import bilberryring"],
        cwd=tree,
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout == "one\n"
    cached = tree / "bilberryring" / "__pycache__"
    assert f"code object from '{cached}" in completed.stderr


def test_a_source_that_changes_with_equal_size_and_time_is_read_again(tree):
    build(tree)
    source = tree / "bilberryring" / "__init__.py"
    times = source.stat()
    source.write_text("print('two')\n")
    os.utime(source, ns=(times.st_atime_ns, times.st_mtime_ns))
    completed = subprocess.run(
        [sys.executable, "-c", "import bilberryring"],
        cwd=tree,
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout == "two\n"
