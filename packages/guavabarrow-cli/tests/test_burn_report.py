from guavabarrow_cli.burn_report import BurnReport
from guavabarrow_core.exceptions import ExecutionStatus
from guavabarrow_daemon.caller_api import RequestRecord
from guavabarrow_daemon.kernel import Kernel
from guavabarrow_daemon.metrics import Metrics


def render_metrics(counts):
    """Return metrics in the text format exposed by a VM."""
    metrics = Metrics(Kernel())
    for (team, code), (count, seconds) in counts.items():
        record = RequestRecord(team, code, ExecutionStatus.RAN)
        for _ in range(count):
            metrics.requests.labels(record.team, record.code, record.ran.value).inc()
            metrics.latency.labels(record.team, record.code).observe(seconds)
    return metrics.render().decode()


def test_burn_rate_sums_all_vms_and_excludes_client_errors():
    report = BurnReport((60.0,))
    report.add(0.0, [render_metrics({("a", "ok"): (10, 0.01)}), render_metrics({})])
    second_scrape = {
        ("a", "ok"): (100, 0.01),
        ("a", "overloaded"): (10, 0.01),
        ("a", "rate_exceeded"): (500, 0.01),
    }
    report.add(
        60.0, [render_metrics(second_scrape), render_metrics({("a", "ok"): (10, 0.01)})]
    )
    served = next(row for row in report.rows() if row.objective == "served")
    # 10 of 110 requests failed; the error budget is 0.1%.
    assert served.burn_by_window["60 s"] == round(10 / 110 / 0.001, 2)
    assert served.alert == "fast burn: act now"
    assert "<svg" in report.to_html()


def test_slow_requests_burn_the_latency_objective():
    report = BurnReport((60.0,))
    report.add(0.0, [render_metrics({("a", "ok"): (1, 0.01)})])
    report.add(60.0, [render_metrics({("a", "ok"): (101, 0.2)})])
    rows = {row.objective: row for row in report.rows()}
    assert rows["served"].alert == "none"
    assert rows["answered within 0.1 s"].alert == "fast burn: act now"
