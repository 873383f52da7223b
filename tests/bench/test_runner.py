"""The runner of experiments."""

import types

from bench import __main__ as runner


def test_an_unknown_experiment_is_refused_with_the_known_names(capsys):
    code = runner.main(["no-such-experiment"])

    assert code == runner.EXIT_USAGE
    assert "no experiment 'no-such-experiment'" in capsys.readouterr().err


def test_the_named_experiment_gets_its_arguments(monkeypatch):
    seen = []
    module = types.SimpleNamespace(run=lambda arguments: seen.append(arguments) or 0)
    monkeypatch.setattr(runner, "experiments", lambda: {"path": module})

    assert runner.main(["path", "--seconds", "3"]) == 0
    assert seen == [["--seconds", "3"]]


def test_every_experiment_has_a_summary():
    for name, module in runner.experiments().items():
        assert runner.summary(module), name
