Feature: Guarantees of the data path

  Scenario: A session reads its own writes at other VMs while replicas lag
    Given a fleet whose replicas lag 80 ms
    When a session writes 20 rows and reads each at another VM
    Then every read returned the row that the session wrote before it
    And most of the reads were served by replicas

  Scenario: No acknowledged write is lost when primaries are killed
    Given a fleet whose replicas lag 20 ms
    And a workload that writes and reads
    When the primary is killed and 20 more writes are acknowledged
    And the killed database is restarted
    And the primary is killed and 20 more writes are acknowledged
    Then no guarantee was violated

  Scenario: A frozen primary acknowledges nothing after a failover
    Given a fleet whose replicas lag 20 ms
    And a workload that writes and reads
    When the primary is frozen and 20 more writes are acknowledged
    And the frozen database resumes and 20 more writes are acknowledged
    Then no guarantee was violated

  Scenario: A primary partitioned from its peers is replaced
    Given a fleet whose replicas lag 20 ms
    And a workload that writes and reads
    When the primary is partitioned from the other databases and another one is promoted
    And 20 more writes are acknowledged
    And the partition heals and 20 more writes are acknowledged
    Then no guarantee was violated

  Scenario: Promotion while the platform's store is down
    Given a fleet whose replicas lag 20 ms
    And a workload that writes and reads
    When the store goes down
    And the primary is killed and 20 more writes are acknowledged
    And the store recovers
    Then no guarantee was violated

  Scenario: An entry VM that is killed during a transaction leaves none of its rows
    Given a fleet whose replicas lag 0 ms
    When a caller opens a transaction at vm-1, writes, and vm-1 is killed
    Then the transaction left no row
    And another caller can write

  Scenario: Transactions of different callers are isolated
    Given a fleet whose replicas lag 0 ms
    When 6 callers run 10 interleaved transactions each and roll every second one back
    Then exactly the rows of the committed transactions are there

  Scenario: A write whose response is lost runs once
    Given a fleet whose replicas lag 0 ms
    When 10 increments are sent and the responses to 3 of them are lost
    Then every increment was acknowledged and ran once

  Scenario: A commit whose response is lost is retried and runs once
    Given a fleet whose replicas lag 0 ms
    When the response to a commit is lost
    Then the commit is reported as run and ran once

  Scenario: A late response is never returned to another request
    Given a fleet whose replicas lag 0 ms
    When databases respond 300 ms late and callers time out after 100 ms
    Then every later response belongs to its own request

  Scenario: A write that is rejected as not run did not run
    Given a fleet whose replicas lag 0 ms
    And a workload that writes and reads
    When two databases are killed until 5 writes are rejected
    And the killed databases are restarted and 20 more writes are acknowledged
    Then no guarantee was violated

  Scenario: No target receives a caller's key
    Given a fleet whose replicas lag 0 ms
    When callers write, read, run transactions and put their key into a statement
    And callers encode their key with JSON escapes
    Then no database received a key

  Scenario: A request runs only for the team of its key
    Given a fleet whose replicas lag 0 ms
    Then a request without a key is rejected and did not run
    And a request with an unknown key is rejected and did not run
    And a request for a service of another team is rejected and did not run
    And a transaction of another team cannot be used
    And a session token of another team is rejected
    And the open route is served without a key

  Scenario: Invalid input is rejected with an error code and the VM keeps serving
    Given a fleet whose replicas lag 0 ms
    Then each invalid request is rejected with its code
      | request               | code                 |
      | broken JSON           | bad_request          |
      | unknown field         | bad_request          |
      | empty statement       | bad_request          |
      | COMMIT as a statement | bad_request          |
      | malformed token       | bad_session_token    |
      | unknown route         | unknown_route        |
      | oversized body        | body_too_large       |
      | write without id      | request_id_required  |
      | id of another form    | bad_request          |
      | expired id            | request_id_expired   |
      | expired transaction   | unknown_transaction  |
      | passed deadline       | deadline_exceeded    |
      | failing SQL           | statement_failed     |
      | write sent as a read  | bad_request          |
      | reused id             | request_id_reused    |
    And another caller can write

  Scenario: Retries do not overload a slow database
    Given a fleet whose replicas lag 0 ms
    When databases take 400 ms a statement and 12 callers time out after 500 ms, for 4 s
    Then databases got at most 1.1 statements for each request

  Scenario: A session reads its writes after a failover and the loss of its VM
    Given a fleet whose replicas lag 50 ms
    When a session writes, its primary and its VM are killed, and it reads at another VM
    Then every read returned the row that the session wrote before it
