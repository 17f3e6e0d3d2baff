"""Stand-ins for the platform's targets and store, used by tests and benches.

The product never imports them; `script/check_imports.py` enforces it.
"""
