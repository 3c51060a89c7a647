"""Command ``guavabarrow report``."""

from __future__ import annotations

import time
from pathlib import Path

from guavabarrow_cli.admin_client import AdminClient, AdminRequestFailed
from guavabarrow_cli.burn_report import BurnReport, to_documents
from guavabarrow_cli.console import EXIT_USAGE, fail, print_json, print_table


class ReportCommand:
    """Reports computed from the metrics of the VMs.

    Example: guavabarrow report burn --admin 10.0.0.7:7001,10.0.0.8:7001 --for_s 60
    """

    def burn(
        self,
        admin: str | tuple[str, ...] = "127.0.0.1:7001",
        every_s: float = 5.0,
        for_s: float = 60.0,
        json: bool = False,
        html: str | None = None,
    ) -> None:
        """Poll VMs and print the error budget burn rate of each team's objectives.

        Parameters
        ----------
        admin : str
            Operator addresses, comma-separated.
        every_s, for_s : float
            Polling interval and duration in s; the burn windows are a twelfth, a
            quarter and the whole of the duration.
        json : bool
            Print JSON.
        html : str, optional
            Also save the report to this file as an HTML page with a chart.
        """
        if every_s <= 0 or for_s < every_s:
            fail("--for_s must be at least --every_s, which must be positive.", 2)
        addresses = admin.split(",") if isinstance(admin, str) else list(admin)
        report = BurnReport((for_s / 12, for_s / 4, for_s))
        self._poll_metrics(report, addresses, every_s, for_s)
        if html is not None:
            Path(html).write_text(report.to_html(), encoding="utf-8")
        if json:
            print_json(to_documents(report.rows()))
            return
        print_table(
            ("team", "objective", "target", "burn by window", "alert"),
            [
                (
                    row.team,
                    row.objective,
                    row.target,
                    ", ".join(f"{w}: {b:g}" for w, b in row.burn_by_window.items()),
                    row.alert,
                )
                for row in report.rows()
            ],
        )

    def _poll_metrics(
        self, report: BurnReport, addresses: list[str], every_s: float, for_s: float
    ) -> None:
        clients = [AdminClient(address, "") for address in addresses]
        end_at = time.monotonic() + for_s
        while True:
            try:
                expositions = [client.metrics() for client in clients]
            except AdminRequestFailed as error:
                fail(str(error), EXIT_USAGE)
            report.add(time.monotonic(), expositions)
            if time.monotonic() + every_s > end_at:
                return
            time.sleep(every_s)
