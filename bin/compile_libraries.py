"""Compiles installed libraries again, without their docstrings.

The docstrings of the libraries that a gateway imports take 1.4 MB of its memory, and no
program reads them. Assertions stay, which `python3 -OO` would drop too.
"""

import ast
import sys
from importlib.machinery import SourceFileLoader
from importlib.util import cache_from_source
from pathlib import Path

DOCUMENTED = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
SKIPPED_FOLDERS = {"test", "tests"}


class _Loader(SourceFileLoader):
    """Compiles a module with an empty text for each docstring."""

    def source_to_code(self, data, path, *, _optimize=-1):
        tree = ast.parse(data, path)
        for node in ast.walk(tree):
            if isinstance(node, DOCUMENTED) and ast.get_docstring(node) is not None:
                docstring = node.body[0].value
                node.body[0].value = ast.copy_location(ast.Constant(""), docstring)
        return super().source_to_code(tree, path, _optimize=_optimize)


def compile_folder(folder: Path) -> None:
    """Compile all modules in a folder, except tests and files with syntax errors."""
    sys.dont_write_bytecode = False
    for path in folder.rglob("*.py"):
        if SKIPPED_FOLDERS & set(path.relative_to(folder).parts):
            continue
        Path(cache_from_source(str(path))).unlink(missing_ok=True)
        try:
            _Loader(path.stem, str(path)).get_code(path.stem)
        except (SyntaxError, ValueError):
            # Some libraries contain modules of other versions of the interpreter.
            continue


if __name__ == "__main__":
    compile_folder(Path(sys.argv[1]))
