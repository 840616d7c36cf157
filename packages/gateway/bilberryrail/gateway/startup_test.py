"""Tests of the start, in processes of their own."""

import subprocess
import sys

import pytest

#: Prints whether a module was loaded, before and after it is used.
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
def test_unused_module_is_loaded_when_it_is_used_after_all():
    # Guards against a library that finds a module missing, and against a start
    # that loads what nobody uses: a restarted node serves nobody meanwhile.
    ended = subprocess.run(
        [sys.executable, '-c', SCRIPT],
        capture_output=True,
        text=True,
    )
    lines = ended.stdout.split('\n')
    assert lines[:4] == ['False', 'CookieJar', 'True', 'True True']
