"""Tests of deferred imports, in a process of their own."""

import subprocess
import sys

import pytest

#: Prints whether a deferred module is loaded, before and after its first use.
SCRIPT = """
import sys
from bilberryrail.gateway import startup
startup.begin_imports()
import http.cookiejar as jar
print('urllib.request' in sys.modules)
print(jar.CookieJar.__name__)
print('urllib.request' in sys.modules)
startup.end_imports()
import gc
print(gc.isenabled(), gc.get_freeze_count() > 0)
"""


@pytest.mark.timeout(30)
def test_deferred_module_is_loaded_when_it_is_first_used():
    # Guards against a library that does not find a deferred module, and against
    # a slow start because of unused modules: a node serves no requests while it
    # imports.
    ended = subprocess.run(
        [sys.executable, '-c', SCRIPT],
        capture_output=True,
        text=True,
    )
    lines = ended.stdout.split('\n')
    assert lines[:4] == ['False', 'CookieJar', 'True', 'True True']
