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


LIBRARY = '''"""About the module."""
"a statement"


class Sum:
    """About the class."""

    def of(self, *numbers):
        """About the method."""
        assert numbers, "empty"
        return sum(numbers)


def nothing():
    """About a function without a statement."""


async def later():
    "About a coroutine."
    return 1
'''
USE = """
import sys
sys.path.insert(0, sys.argv[1])
import library
print(bool(library.__doc__ or library.Sum.__doc__ or library.Sum.of.__doc__))
print(library.Sum().of(1, 2), library.nothing(), library.later.__name__)
try:
    library.Sum().of()
except AssertionError as error:
    print(error, error.__traceback__.tb_next.tb_lineno)
"""


@pytest.fixture
def libraries(tmp_path):
    """A folder with an installed library of one module, compiled without docstrings."""
    (tmp_path / "library.py").write_text(LIBRARY)
    (tmp_path / "other_version.py").write_text("print 'text'\n")
    subprocess.run(
        [sys.executable, ROOT / "bin" / "compile_libraries.py", tmp_path], check=True
    )
    return tmp_path


def use(libraries):
    return subprocess.run(
        [sys.executable, "-v", "-c", USE, libraries],
        capture_output=True,
        text=True,
        check=True,
    )


def test_libraries_are_compiled_without_docstrings_and_with_assertions(libraries):
    """Guards against a changed behaviour, and modules compiled at each start."""
    completed = use(libraries)
    assert completed.stdout.splitlines() == ["False", "3 None later", "empty 10"]
    assert f"code object from '{libraries / '__pycache__'}" in completed.stderr


def test_a_library_that_is_installed_again_is_read_again(libraries):
    """Guards against compiled files that outlive the version of their source."""
    source = libraries / "library.py"
    source.write_text(LIBRARY.replace("sum(numbers)", "sum(numbers, 4)"))
    assert use(libraries).stdout.splitlines()[1] == "7 None later"
