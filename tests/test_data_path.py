"""Tests of the data path guarantees on real processes."""

from __future__ import annotations

import json
import threading
import time

from harness.caller import SERVICE
from harness.process_fleet import post, request, wait_until
from harness.world import KILIMA, MTO
from pytest_bdd import given, parsers, scenarios, then, when

from guavabarrow_core.request_id import create_request_id

scenarios("features/data_path.feature")

STATEMENTS_PATH = f"/v1/services/{SERVICE}/statements"


@given(parsers.parse("a fleet whose replicas lag {lag_ms:d} ms"))
def _(world, lag_ms):
    world.start(lag_ms=float(lag_ms))


@given("a workload that writes and reads")
def _(world):
    world.start_workload()
    world.wait_acknowledged(20)


@when(parsers.parse("a session writes {count:d} rows and reads each at another VM"))
def _(world, count):
    caller = world.caller()
    world.state["missing"] = []
    world.state["sources"] = []
    for number in range(count):
        assert caller.write("INSERT INTO entry VALUES (?)", f"r{number}").ok
        caller.switch_vm()
        response = caller.read("SELECT row FROM entry WHERE row = ?", f"r{number}")
        assert response.ok, response
        if response.body["rows"] != [[f"r{number}"]]:
            world.state["missing"].append(number)
        world.state["sources"].append(response.body["source"])


@then("every read returned the row that the session wrote before it")
def _(world):
    assert world.state["missing"] == []


@when("a session writes, its primary and its VM are killed, and it reads at another VM")
def _(world):
    caller = world.caller()
    assert caller.write("INSERT INTO entry VALUES ('own')").ok
    token = caller.token
    world.fleet.kill(world.fleet.primary(SERVICE))
    world.fleet.kill("vm-1")
    survivor = world.caller()
    survivor.token = token
    read = survivor.read("SELECT row FROM entry")
    written = survivor.write("INSERT INTO entry VALUES ('later')")
    rows = survivor.read("SELECT row FROM entry ORDER BY row")
    assert read.ok and written.ok and rows.ok, (read, written, rows)
    world.state["missing"] = []
    if read.body["rows"] != [["own"]]:
        world.state["missing"].append(read.body["rows"])
    if rows.body["rows"] != [["later"], ["own"]]:
        world.state["missing"].append(rows.body["rows"])


@then("most of the reads were served by replicas")
def _(world):
    sources = world.state["sources"]
    assert sources.count("replica") > len(sources) / 2


@when("the primary is killed and 20 more writes are acknowledged")
def _(world):
    primary = world.fleet.primary(SERVICE)
    world.state["killed"] = [primary]
    world.fleet.kill(primary)
    world.wait_acknowledged(20)


@when("the killed database is restarted")
def _(world):
    (database,) = world.state["killed"]
    world.fleet.restart(database)
    vm = world.fleet.vms[0]
    wait_until(
        lambda: _is_caught_up(world, vm, database),
        f"{database} has caught up with the primary",
    )


def _is_caught_up(world, vm, database):
    targets = {t.target: t for t in world.fleet.group(vm, SERVICE).targets}
    highest = max(target.term for target in targets.values())
    return targets[database].term == highest


@when("the primary is frozen and 20 more writes are acknowledged")
def _(world):
    primary = world.fleet.primary(SERVICE)
    world.state["frozen"] = primary
    world.fleet.freeze(primary)
    world.wait_acknowledged(20)


@when("the frozen database resumes and 20 more writes are acknowledged")
def _(world):
    world.fleet.resume(world.state["frozen"])
    world.wait_acknowledged(20)


@when("the primary is partitioned from the other databases and another one is promoted")
def _(world):
    primary = world.fleet.primary(SERVICE)
    others = [
        name
        for name in world.fleet.databases
        if name.startswith(SERVICE) and name != primary
    ]
    world.state["partitioned"] = [(primary, other) for other in others]
    for source, target in world.state["partitioned"]:
        world.fleet.set_link_faults(source, target, cut=True)
    vm = world.fleet.vms[0]
    wait_until(
        lambda: world.fleet.group(vm, SERVICE).primary in others,
        "another database is primary",
    )


@when("20 more writes are acknowledged")
def _(world):
    world.wait_acknowledged(20)


@when("the partition heals and 20 more writes are acknowledged")
def _(world):
    for source, target in world.state["partitioned"]:
        world.fleet.set_link_faults(source, target, cut=False)
    world.wait_acknowledged(20)


@when("the store goes down")
def _(world):
    world.fleet.set_platform_faults(down=True)


@when("the store recovers")
def _(world):
    world.fleet.set_platform_faults(down=False)


@then("no guarantee was violated")
def _(world):
    workload = world.end_workload()
    assert workload.history.reads
    assert workload.history.check(world.rows()) == []


@when("a caller opens a transaction at vm-1, writes, and vm-1 is killed")
def _(world):
    caller = world.caller()
    transaction = caller.begin()
    assert caller.execute(transaction, "INSERT INTO entry VALUES ('uncommitted')").ok
    world.fleet.kill("vm-1")
    world.state["commit"] = caller.commit(transaction)


@then("the transaction left no row")
def _(world):
    assert not world.state["commit"].ok
    assert world.rows() == []


@then("another caller can write")
def _(world):
    response = world.caller().write("INSERT INTO entry VALUES ('later')")
    assert response.ok, response


@when("6 callers run 10 interleaved transactions each and roll every second one back")
def _(world):
    committed = []
    failures = []

    def run(number):
        caller = world.caller(name=f"c{number}")
        caller.switch_vm(number)
        for turn in range(10):
            transaction = caller.begin()
            for part in "ab":
                row = f"{number}/{turn}/{part}"
                response = caller.execute(
                    transaction, "INSERT INTO entry VALUES (?)", row
                )
                if not response.ok:
                    failures.append(response)
            if turn % 2:
                caller.post(f"/v1/transactions/{transaction}/rollback", {})
                continue
            response = caller.commit(transaction)
            if response.ok:
                committed.extend(f"{number}/{turn}/{part}" for part in "ab")
            else:
                failures.append(response)

    threads = [threading.Thread(target=run, args=(number,)) for number in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert failures == []
    world.state["committed"] = committed


@then("exactly the rows of the committed transactions are there")
def _(world):
    assert len(world.state["committed"]) == 60
    assert sorted(world.rows()) == sorted(world.state["committed"])


@when("10 increments are sent and the responses to 3 of them are lost")
def _(world):
    caller = world.caller()
    assert caller.write("CREATE TABLE meter (units INTEGER)").ok
    assert caller.write("INSERT INTO meter VALUES (0)").ok
    primary = world.fleet.primary(SERVICE)
    world.state["responses"] = []
    for number in range(10):
        if number % 3 == 1:
            world.fleet.set_database_faults(primary, lost_answers=1)
        response = caller.write("UPDATE meter SET units = units + 1")
        world.state["responses"].append(response)


@then("every increment was acknowledged and ran once")
def _(world):
    assert all(response.ok for response in world.state["responses"])
    assert sum(a.body["replayed"] for a in world.state["responses"]) == 3
    response = world.caller().read("SELECT units FROM meter", max_age_ms=0)
    assert response.body["rows"] == [[10]]


@when("the response to a commit is lost")
def _(world):
    caller = world.caller()
    transaction = caller.begin()
    assert caller.execute(transaction, "INSERT INTO entry VALUES ('once')").ok
    primary = world.fleet.primary(SERVICE)
    world.fleet.set_database_faults(primary, lost_answers=1)
    world.state["commit"] = caller.commit(transaction)


@then("the commit is reported as run and ran once")
def _(world):
    assert world.state["commit"].ok, world.state["commit"]
    assert world.state["commit"].body["replayed"]
    assert world.rows() == ["once"]


@when("databases respond 300 ms late and callers time out after 100 ms")
def _(world):
    for database in world.fleet.databases:
        world.fleet.set_database_faults(database, answer_delay_ms=300.0)
    callers = [world.caller(deadline_s=0.1) for _ in range(8)]
    world.state["late"] = [
        caller.read("SELECT ?", "timed out").status for caller in callers
    ]


@then("every later response belongs to its own request")
def _(world):
    assert all(status >= 400 for status in world.state["late"])
    for number in range(12):
        response = world.caller().read("SELECT ?", f"n{number}")
        assert response.ok, response
        assert response.body["rows"] == [[f"n{number}"]]


@when("two databases are killed until 5 writes are rejected")
def _(world):
    workload = world.workload
    workload.deadline_s = 1.0
    names = [name for name in world.fleet.databases if name.startswith(SERVICE)][:2]
    world.state["killed"] = names
    for name in names:
        world.fleet.kill(name)
    wait_until(lambda: len(workload.failures) >= 5, "5 rejected writes")


@when("the killed databases are restarted and 20 more writes are acknowledged")
def _(world):
    for name in world.state["killed"]:
        world.fleet.restart(name)
    world.wait_acknowledged(20)


@when("callers write, read, run transactions and put their key into a statement")
def _(world):
    caller = world.caller()
    for number in range(5):
        assert caller.write("INSERT INTO entry VALUES (?)", str(number)).ok
        caller.switch_vm()
        assert caller.read("SELECT * FROM entry").ok
    transaction = caller.begin()
    assert caller.execute(transaction, "INSERT INTO entry VALUES ('t')").ok
    assert caller.commit(transaction).ok
    response = caller.write("INSERT INTO entry VALUES (?)", KILIMA.key)
    assert response.body["code"] == "key_in_statement"
    assert response.body["ran"] == "not_run"


@when("callers encode their key with JSON escapes")
def _(world):
    escaped = "".join(f"\\u{ord(character):04x}" for character in KILIMA.key)
    headers = {
        "Authorization": f"Bearer {KILIMA.key}",
        "Request-Id": create_request_id(time.time()),
    }
    for body in (
        f'{{"sql": "INSERT INTO entry VALUES (?)", "params": ["{escaped}"]}}',
        f'{{"sql": "INSERT INTO entry VALUES (\'{escaped}\')"}}',
    ):
        status, response, _ = request(
            world.ports[0], "POST", STATEMENTS_PATH, body.encode(), headers
        )
        assert (status, response["code"]) == (400, "key_in_statement")


@then("no database received a key")
def _(world):
    seen = 0
    for database in world.fleet.databases:
        recorded = post(world.fleet.port_by_name[database], "/recorded", {})
        seen += len(recorded["requests"])
        for text in recorded["requests"]:
            assert KILIMA.key not in text
            assert KILIMA.key.encode().hex() not in text
    assert seen >= 12


def _send_write(world, key, service=SERVICE, **headers):
    body = json.dumps({"sql": "INSERT INTO entry VALUES ('x')"}).encode()
    request_headers = {"Request-Id": create_request_id(time.time()), **headers}
    if key:
        request_headers["Authorization"] = f"Bearer {key}"
    path = f"/v1/services/{service}/statements"
    return request(world.ports[0], "POST", path, body, request_headers)


def _assert_rejected(world, response, status, code):
    assert (response[0], response[1]["code"], response[1]["ran"]) == (
        status,
        code,
        "not_run",
    )
    assert world.rows() == []


@then("a request without a key is rejected and did not run")
def _(world):
    _assert_rejected(world, _send_write(world, ""), 401, "unauthenticated")


@then("a request with an unknown key is rejected and did not run")
def _(world):
    _assert_rejected(world, _send_write(world, "wrong"), 401, "unauthenticated")


@then("a request for a service of another team is rejected and did not run")
def _(world):
    response = _send_write(world, MTO.key)
    _assert_rejected(world, response, 403, "service_not_allowed")


@then("a transaction of another team cannot be used")
def _(world):
    caller = world.caller()
    transaction = caller.begin()
    other_team_caller = world.caller(MTO)
    response = other_team_caller.execute(
        transaction, "INSERT INTO entry VALUES ('stolen')"
    )
    assert response.body["code"] == "unknown_transaction"
    assert other_team_caller.commit(transaction).body["code"] == "unknown_transaction"
    assert caller.commit(transaction).ok
    assert world.rows() == []


@then("a session token of another team is rejected")
def _(world):
    caller = world.caller()
    assert caller.write("UPDATE entry SET row = row").ok
    response = _send_write(
        world, MTO.key, "stock-db", **{"Session-Token": caller.token}
    )
    _assert_rejected(world, response, 400, "bad_session_token")


@then("the open route is served without a key")
def _(world):
    status, body, _ = request(world.ports[0], "GET", "/v1/open/notice")
    assert (status, body["rows"]) == (200, [["open"]])


def _bad_request(world, name):
    read_body = json.dumps({"sql": "SELECT 1", "read": True}).encode()
    write_body = json.dumps({"sql": "INSERT INTO entry VALUES ('bad')"}).encode()
    old_id = create_request_id(time.time() - 3 * 24 * 3600)
    request_by_name = {
        "broken JSON": (STATEMENTS_PATH, b"{", {}),
        "unknown field": (STATEMENTS_PATH, b'{"sql": "SELECT 1", "x": 1}', {}),
        "empty statement": (STATEMENTS_PATH, b'{"sql": " ", "read": true}', {}),
        "COMMIT as a statement": (
            STATEMENTS_PATH,
            b'{"sql": "COMMIT", "read": true}',
            {},
        ),
        "malformed token": (STATEMENTS_PATH, read_body, {"Session-Token": "%%"}),
        "unknown route": ("/v1/nothing", read_body, {}),
        "oversized body": (STATEMENTS_PATH, b" " * 400_000, {}),
        "write without id": (STATEMENTS_PATH, write_body, {}),
        "id of another form": (STATEMENTS_PATH, write_body, {"Request-Id": "7"}),
        "expired id": (STATEMENTS_PATH, write_body, {"Request-Id": old_id}),
        "expired transaction": ("/v1/transactions/gone/commit", b"{}", {}),
        "passed deadline": (STATEMENTS_PATH, read_body, {"Deadline-Ms": "-1"}),
        "failing SQL": (STATEMENTS_PATH, b'{"sql": "SELEC", "read": true}', {}),
        "write sent as a read": (
            STATEMENTS_PATH,
            b'{"sql": "DELETE FROM entry", "read": true}',
            {"Session-Token": world.state["token"]},
        ),
    }
    path, body, headers = request_by_name[name]
    request_headers = {"Authorization": f"Bearer {KILIMA.key}", **headers}
    return request(world.ports[0], "POST", path, body, request_headers)


def _reuse_id(world):
    request_id = create_request_id(time.time())
    caller = world.caller()
    first = caller.write("UPDATE entry SET row = 'a'", request_id=request_id)
    assert first.ok
    second = caller.write("UPDATE entry SET row = 'b'", request_id=request_id)
    return second.status, second.body, second.headers


@then("each invalid request is rejected with its code")
def _(world, datatable):
    # Without its token a read may reach a replica that lacks the table.
    writer = world.caller()
    assert writer.write("DELETE FROM entry").ok
    world.state["token"] = writer.token
    mismatches = []
    for name, code in datatable[1:]:
        response = (
            _reuse_id(world) if name == "reused id" else _bad_request(world, name)
        )
        if (response[1].get("code"), response[1].get("ran")) != (code, "not_run"):
            mismatches.append((name, response))
    assert mismatches == []
    assert world.rows() == []


def _count_executed(world):
    total = 0
    for database in world.fleet.databases:
        recorded = post(world.fleet.port_by_name[database], "/recorded", {})
        total += sum(text.startswith("/execute") for text in recorded["requests"])
    return total


@when("databases take 400 ms a statement and 12 callers time out after 500 ms, for 4 s")
def _(world):
    for database in world.fleet.databases:
        world.fleet.set_database_faults(database, statement_ms=400.0)
    executed_before = _count_executed(world)
    responses = []

    def run(number):
        caller = world.caller(deadline_s=0.5)
        caller.switch_vm(number)
        end_at = time.monotonic() + 4.0
        while time.monotonic() < end_at:
            responses.append(caller.read("SELECT 1"))

    threads = [threading.Thread(target=run, args=(number,)) for number in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    world.state.update(
        requests=len(responses), executed=_count_executed(world) - executed_before
    )


@then("databases got at most 1.1 statements for each request")
def _(world):
    assert world.state["requests"] > 50
    assert world.state["executed"] <= 1.1 * world.state["requests"]
