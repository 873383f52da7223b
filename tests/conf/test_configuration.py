"""Tests of the checks of settings: all faults are listed, secrets are not printed."""

from bitternlever.conf import configuration

CONTROL = {
    "host": "a",
    "zone": "hall-a",
    "listen": "tcp://127.0.0.1:7001",
    "cluster_key": "0123456789abcdef",
    "log_format": "text",
    "log_level": "info",
    "otlp_endpoint": "",
    "spans_file": "",
    "metrics_file": "",
    "metrics_interval_s": "10",
    "nodes": "a=tcp://127.0.0.1:7001,b=tcp://127.0.0.1:7002,c=tcp://127.0.0.1:7003",
    "zones": "a=hall-a,b=hall-b,c=hall-c",
    "data_folder": "/var/lib/bitternlever",
    "host_lease_s": "3",
    "election_timeout_s": "0.8",
    "heartbeat_s": "0.1",
    "answer_retention_s": "3600",
    "maximum_journal_bytes": "16000000",
    "trace_ratio": "1",
    "journal_groups": "1",
}


def faults_of(**changes):
    outcome = configuration.control(CONTROL | changes)
    return {fault.name: fault for fault in outcome.err() or []}


def test_valid_settings_become_typed_values():
    settings = configuration.control(CONTROL).ok()

    assert settings.nodes["b"] == "tcp://127.0.0.1:7002"
    assert settings.host_lease_s == 3.0


def test_every_fault_is_listed_at_once():
    faults = faults_of(listen="7001", heartbeat_s="soon", log_level="loud")

    assert set(faults) == {"listen", "heartbeat_s", "log_level"}


def test_a_fault_names_the_value_and_what_is_allowed():
    fault = faults_of(listen="tcp://127.0.0.1:99999")["listen"]

    assert "99999" in str(fault)
    assert "1 to 65535" in str(fault)
    assert "BITTERNLEVER_LISTEN" in str(fault)


def test_a_faulty_secret_is_not_printed():
    fault = faults_of(cluster_key="short")["cluster_key"]

    assert "short" not in str(fault)


def test_nodes_must_include_the_process_itself():
    assert "nodes" in faults_of(host="d")


def test_an_even_number_of_nodes_is_refused():
    nodes = "a=tcp://127.0.0.1:7001,b=tcp://127.0.0.1:7002"

    assert "nodes" in faults_of(nodes=nodes, zones="a=hall-a,b=hall-b")


def test_a_heartbeat_too_slow_for_the_election_timeout_is_refused():
    assert "heartbeat_s" in faults_of(heartbeat_s="0.5", election_timeout_s="0.8")
