"""The command-line tool for operators.

The functions in `queries` only read; those in `commands` write files.
"""
