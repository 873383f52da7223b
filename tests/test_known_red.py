"""Listed tests may fail without failing the run; other tests may not."""

KNOWN_RED = """\
test: test_it.py::test_listed
command: pytest test_it.py
seen: assert False
issue: 7

test: test_it.py::test_fixed
"""
TESTS = """
def test_listed():
    assert False

def test_fixed():
    pass

def test_unlisted():
    assert {unlisted}
"""


def run(pytester, unlisted):
    pytester.makefile(".txt", **{"KNOWN-RED": KNOWN_RED})
    pytester.makepyfile(test_it=TESTS.format(unlisted=unlisted))
    plugins = ("-p", "tests.known_red", "-p", "no:asyncio")
    return pytester.runpytest_inprocess(*plugins)


def test_a_listed_failure_is_ignored_and_printed(pytester):
    outcome = run(pytester, unlisted=True)

    assert outcome.ret == 0
    outcome.stdout.fnmatch_lines(
        [
            "test_it.py::test_listed: failed as listed",
            "test_it.py::test_fixed: PASSED: take it off the list",
        ],
    )


def test_an_unlisted_failure_still_fails_the_run(pytester):
    outcome = run(pytester, unlisted=False)

    assert outcome.ret == 1
    outcome.assert_outcomes(failed=1, xfailed=1, xpassed=1)
