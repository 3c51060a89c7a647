"""Proofs of the data path on real processes."""

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

STATEMENTS = f"/v1/services/{SERVICE}/statements"


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
    world.facts["missing"] = []
    world.facts["sources"] = []
    for number in range(count):
        assert caller.write("INSERT INTO entry VALUES (?)", f"r{number}").ok
        caller.move()
        answer = caller.read("SELECT row FROM entry WHERE row = ?", f"r{number}")
        assert answer.ok, answer
        if answer.body["rows"] != [[f"r{number}"]]:
            world.facts["missing"].append(number)
        world.facts["sources"].append(answer.body["source"])


@then("every read held the row that the session wrote before it")
def _(world):
    assert world.facts["missing"] == []


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
    again = survivor.read("SELECT row FROM entry ORDER BY row")
    assert read.ok and written.ok and again.ok, (read, written, again)
    world.facts["missing"] = []
    if read.body["rows"] != [["own"]]:
        world.facts["missing"].append(read.body["rows"])
    if again.body["rows"] != [["later"], ["own"]]:
        world.facts["missing"].append(again.body["rows"])


@then("most of the reads were served by replicas")
def _(world):
    sources = world.facts["sources"]
    assert sources.count("replica") > len(sources) / 2


@when("the primary is killed and 20 more writes are acknowledged")
def _(world):
    primary = world.fleet.primary(SERVICE)
    world.facts["killed"] = [primary]
    world.fleet.kill(primary)
    world.wait_acknowledged(20)


@when("the killed database returns")
def _(world):
    (database,) = world.facts["killed"]
    world.fleet.restart(database)
    vm = world.fleet.vms[0]
    wait_until(
        lambda: _is_caught_up(world, vm, database), f"{database} follows the primary"
    )


def _is_caught_up(world, vm, database):
    targets = {t.target: t for t in world.fleet.group(vm, SERVICE).targets}
    highest = max(target.term for target in targets.values())
    return targets[database].term == highest


@when("the primary is frozen and 20 more writes are acknowledged")
def _(world):
    primary = world.fleet.primary(SERVICE)
    world.facts["frozen"] = primary
    world.fleet.freeze(primary)
    world.wait_acknowledged(20)


@when("the frozen database resumes and 20 more writes are acknowledged")
def _(world):
    world.fleet.resume(world.facts["frozen"])
    world.wait_acknowledged(20)


@when("the primary is cut off from the other databases and a later term has a primary")
def _(world):
    primary = world.fleet.primary(SERVICE)
    others = [
        name
        for name in world.fleet.databases
        if name.startswith(SERVICE) and name != primary
    ]
    world.facts["cut"] = [(primary, other) for other in others]
    for source, target in world.facts["cut"]:
        world.fleet.set_link(source, target, cut=True)
    vm = world.fleet.vms[0]
    wait_until(
        lambda: world.fleet.group(vm, SERVICE).primary in others,
        "another database is primary",
    )


@when("20 more writes are acknowledged")
def _(world):
    world.wait_acknowledged(20)


@when("the cut is healed and 20 more writes are acknowledged")
def _(world):
    for source, target in world.facts["cut"]:
        world.fleet.set_link(source, target, cut=False)
    world.wait_acknowledged(20)


@when("the store goes down")
def _(world):
    world.fleet.set_platform_faults(down=True)


@when("the store comes back")
def _(world):
    world.fleet.set_platform_faults(down=False)


@then("every promise held")
def _(world):
    workload = world.end_workload()
    assert workload.history.reads
    assert workload.history.check(world.rows()) == []


@when("a caller opens a transaction at vm-1, writes, and vm-1 is killed")
def _(world):
    caller = world.caller()
    transaction = caller.begin()
    assert caller.execute(transaction, "INSERT INTO entry VALUES ('doomed')").ok
    world.fleet.kill("vm-1")
    world.facts["commit"] = caller.commit(transaction)


@then("the transaction left no row")
def _(world):
    assert not world.facts["commit"].ok
    assert world.rows() == []


@then("another caller can write")
def _(world):
    answer = world.caller().write("INSERT INTO entry VALUES ('later')")
    assert answer.ok, answer


@when("6 callers run 10 interleaved transactions each and roll every second one back")
def _(world):
    kept = []
    failures = []

    def run(number):
        caller = world.caller(name=f"c{number}")
        caller.move(number)
        for turn in range(10):
            transaction = caller.begin()
            for part in "ab":
                row = f"{number}/{turn}/{part}"
                answer = caller.execute(
                    transaction, "INSERT INTO entry VALUES (?)", row
                )
                if not answer.ok:
                    failures.append(answer)
            if turn % 2:
                caller.post(f"/v1/transactions/{transaction}/rollback", {})
                continue
            answer = caller.commit(transaction)
            if answer.ok:
                kept.extend(f"{number}/{turn}/{part}" for part in "ab")
            else:
                failures.append(answer)

    threads = [threading.Thread(target=run, args=(number,)) for number in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert failures == []
    world.facts["kept"] = kept


@then("exactly the rows of the committed transactions are there")
def _(world):
    assert len(world.facts["kept"]) == 60
    assert sorted(world.rows()) == sorted(world.facts["kept"])


@when("10 top-ups are sent and the answers of 3 of them are lost")
def _(world):
    caller = world.caller()
    assert caller.write("CREATE TABLE meter (units INTEGER)").ok
    assert caller.write("INSERT INTO meter VALUES (0)").ok
    primary = world.fleet.primary(SERVICE)
    world.facts["answers"] = []
    for number in range(10):
        if number % 3 == 1:
            world.fleet.set_database_faults(primary, lost_answers=1)
        answer = caller.write("UPDATE meter SET units = units + 1")
        world.facts["answers"].append(answer)


@then("every top-up was acknowledged and ran once")
def _(world):
    assert all(answer.ok for answer in world.facts["answers"])
    assert sum(a.body["replayed"] for a in world.facts["answers"]) == 3
    answer = world.caller().read("SELECT units FROM meter", max_age_ms=0)
    assert answer.body["rows"] == [[10]]


@when("the answer of a commit is lost")
def _(world):
    caller = world.caller()
    transaction = caller.begin()
    assert caller.execute(transaction, "INSERT INTO entry VALUES ('once')").ok
    primary = world.fleet.primary(SERVICE)
    world.fleet.set_database_faults(primary, lost_answers=1)
    world.facts["commit"] = caller.commit(transaction)


@then("the caller learns that it ran and it ran once")
def _(world):
    assert world.facts["commit"].ok, world.facts["commit"]
    assert world.facts["commit"].body["replayed"]
    assert world.rows() == ["once"]


@when("databases answer 300 ms late and callers give up after 100 ms")
def _(world):
    for database in world.fleet.databases:
        world.fleet.set_database_faults(database, answer_delay_ms=300.0)
    hurried = [world.caller(deadline_s=0.1) for _ in range(8)]
    world.facts["late"] = [
        caller.read("SELECT ?", "hurried").status for caller in hurried
    ]


@then("every later answer belongs to its own request")
def _(world):
    assert all(status >= 400 for status in world.facts["late"])
    for number in range(12):
        answer = world.caller().read("SELECT ?", f"n{number}")
        assert answer.ok, answer
        assert answer.body["rows"] == [[f"n{number}"]]


@when("two databases are killed until 5 writes are refused")
def _(world):
    workload = world.workload
    workload.deadline_s = 1.0
    victims = [name for name in world.fleet.databases if name.startswith(SERVICE)][:2]
    world.facts["killed"] = victims
    for name in victims:
        world.fleet.kill(name)
    wait_until(lambda: len(workload.failures) >= 5, "5 refusals")


@when("the killed databases return and 20 more writes are acknowledged")
def _(world):
    for name in world.facts["killed"]:
        world.fleet.restart(name)
    world.wait_acknowledged(20)


@when("callers write, read, run transactions and put their key into a statement")
def _(world):
    caller = world.caller()
    for number in range(5):
        assert caller.write("INSERT INTO entry VALUES (?)", str(number)).ok
        caller.move()
        assert caller.read("SELECT * FROM entry").ok
    transaction = caller.begin()
    assert caller.execute(transaction, "INSERT INTO entry VALUES ('t')").ok
    assert caller.commit(transaction).ok
    answer = caller.write("INSERT INTO entry VALUES (?)", KILIMA.key)
    assert answer.body["code"] == "key_in_statement"
    assert answer.body["ran"] == "not_run"


@when("callers hide their key behind JSON escapes")
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
        status, answer, _ = request(
            world.ports[0], "POST", STATEMENTS, body.encode(), headers
        )
        assert (status, answer["code"]) == (400, "key_in_statement")


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


def _statement(world, key, service=SERVICE, **headers):
    body = json.dumps({"sql": "INSERT INTO entry VALUES ('x')"}).encode()
    sent = {"Request-Id": create_request_id(time.time()), **headers}
    if key:
        sent["Authorization"] = f"Bearer {key}"
    path = f"/v1/services/{service}/statements"
    return request(world.ports[0], "POST", path, body, sent)


def _assert_refused(world, answer, status, code):
    assert (answer[0], answer[1]["code"], answer[1]["ran"]) == (status, code, "not_run")
    assert world.rows() == []


@then("a request without a key is refused and did not run")
def _(world):
    _assert_refused(world, _statement(world, ""), 401, "unauthenticated")


@then("a request with an unknown key is refused and did not run")
def _(world):
    _assert_refused(world, _statement(world, "wrong"), 401, "unauthenticated")


@then("a request for a service of another team is refused and did not run")
def _(world):
    answer = _statement(world, MTO.key)
    _assert_refused(world, answer, 403, "service_not_allowed")


@then("a transaction of another team cannot be used")
def _(world):
    caller = world.caller()
    transaction = caller.begin()
    thief = world.caller(MTO)
    answer = thief.execute(transaction, "INSERT INTO entry VALUES ('stolen')")
    assert answer.body["code"] == "unknown_transaction"
    assert thief.commit(transaction).body["code"] == "unknown_transaction"
    assert caller.commit(transaction).ok
    assert world.rows() == []


@then("a session token of another team is refused")
def _(world):
    caller = world.caller()
    assert caller.write("UPDATE entry SET row = row").ok
    answer = _statement(world, MTO.key, "stock-db", **{"Session-Token": caller.token})
    _assert_refused(world, answer, 400, "bad_session_token")


@then("the open route is served without a key")
def _(world):
    status, body, _ = request(world.ports[0], "GET", "/v1/open/notice")
    assert (status, body["rows"]) == (200, [["open"]])


def _bad_request(world, name):
    good = json.dumps({"sql": "SELECT 1", "read": True}).encode()
    write = json.dumps({"sql": "INSERT INTO entry VALUES ('bad')"}).encode()
    old_id = create_request_id(time.time() - 3 * 24 * 3600)
    table = {
        "broken JSON": (STATEMENTS, b"{", {}),
        "unknown field": (STATEMENTS, b'{"sql": "SELECT 1", "x": 1}', {}),
        "empty statement": (STATEMENTS, b'{"sql": " ", "read": true}', {}),
        "COMMIT as a statement": (STATEMENTS, b'{"sql": "COMMIT", "read": true}', {}),
        "malformed token": (STATEMENTS, good, {"Session-Token": "%%"}),
        "unknown route": ("/v1/nothing", good, {}),
        "oversized body": (STATEMENTS, b" " * 400_000, {}),
        "write without id": (STATEMENTS, write, {}),
        "id of another form": (STATEMENTS, write, {"Request-Id": "7"}),
        "expired id": (STATEMENTS, write, {"Request-Id": old_id}),
        "expired transaction": ("/v1/transactions/gone/commit", b"{}", {}),
        "passed deadline": (STATEMENTS, good, {"Deadline-Ms": "-1"}),
        "failing SQL": (STATEMENTS, b'{"sql": "SELEC", "read": true}', {}),
        "write sent as a read": (
            STATEMENTS,
            b'{"sql": "DELETE FROM entry", "read": true}',
            {},
        ),
    }
    path, body, headers = table[name]
    sent = {"Authorization": f"Bearer {KILIMA.key}", **headers}
    return request(world.ports[0], "POST", path, body, sent)


def _reuse_id(world):
    request_id = create_request_id(time.time())
    caller = world.caller()
    first = caller.write("UPDATE entry SET row = 'a'", request_id=request_id)
    assert first.ok
    second = caller.write("UPDATE entry SET row = 'b'", request_id=request_id)
    return second.status, second.body, second.headers


@then("each bad request is refused with its code")
def _(world, datatable):
    wrong = []
    for name, code in datatable[1:]:
        answer = _reuse_id(world) if name == "reused id" else _bad_request(world, name)
        if (answer[1].get("code"), answer[1].get("ran")) != (code, "not_run"):
            wrong.append((name, answer))
    assert wrong == []
    assert world.rows() == []


def _executed(world):
    total = 0
    for database in world.fleet.databases:
        recorded = post(world.fleet.port_by_name[database], "/recorded", {})
        total += sum(text.startswith("/execute") for text in recorded["requests"])
    return total


@when("databases take 400 ms a statement and 12 callers give up after 500 ms for 4 s")
def _(world):
    for database in world.fleet.databases:
        world.fleet.set_database_faults(database, statement_ms=400.0)
    before = _executed(world)
    answers = []

    def run(number):
        caller = world.caller(deadline_s=0.5)
        caller.move(number)
        end_at = time.monotonic() + 4.0
        while time.monotonic() < end_at:
            answers.append(caller.read("SELECT 1"))

    threads = [threading.Thread(target=run, args=(number,)) for number in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    world.facts.update(requests=len(answers), executed=_executed(world) - before)


@then("databases got at most 1.1 statements for each request")
def _(world):
    assert world.facts["requests"] > 50
    assert world.facts["executed"] <= 1.1 * world.facts["requests"]
