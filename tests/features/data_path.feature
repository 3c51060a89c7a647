Feature: What must always hold on the data path

  Scenario: A session reads its own writes at other VMs while replicas lag
    Given a fleet whose replicas lag 80 ms
    When a session writes 20 rows and reads each at another VM
    Then every read held the row that the session wrote before it
    And most of the reads were served by replicas

  Scenario: No acknowledged write is lost when primaries are killed
    Given a fleet whose replicas lag 20 ms
    And a workload that writes and reads
    When the primary is killed and 20 more writes are acknowledged
    And the killed database returns
    And the primary is killed and 20 more writes are acknowledged
    Then every promise held

  Scenario: A primary that was frozen acknowledges nothing after it was superseded
    Given a fleet whose replicas lag 20 ms
    And a workload that writes and reads
    When the primary is frozen and 20 more writes are acknowledged
    And the frozen database resumes and 20 more writes are acknowledged
    Then every promise held

  Scenario: A primary that is cut off from its peers is superseded
    Given a fleet whose replicas lag 20 ms
    And a workload that writes and reads
    When the primary is cut off from the other databases and a later term has a primary
    And 20 more writes are acknowledged
    And the cut is healed and 20 more writes are acknowledged
    Then every promise held

  Scenario: Promotion while the platform's store is down
    Given a fleet whose replicas lag 20 ms
    And a workload that writes and reads
    When the store goes down
    And the primary is killed and 20 more writes are acknowledged
    And the store comes back
    Then every promise held

  Scenario: An entry VM that dies in a transaction leaves no trace of it
    Given a fleet whose replicas lag 0 ms
    When a caller opens a transaction at vm-1, writes, and vm-1 is killed
    Then the transaction left no row
    And another caller can write

  Scenario: Transactions of different callers never mix
    Given a fleet whose replicas lag 0 ms
    When 6 callers run 10 interleaved transactions each and roll every second one back
    Then exactly the rows of the committed transactions are there

  Scenario: A top-up whose answer is lost runs once
    Given a fleet whose replicas lag 0 ms
    When 10 top-ups are sent and the answers of 3 of them are lost
    Then every top-up was acknowledged and ran once

  Scenario: A commit whose answer is lost is resolved
    Given a fleet whose replicas lag 0 ms
    When the answer of a commit is lost
    Then the caller learns that it ran and it ran once

  Scenario: Late answers reach nobody else
    Given a fleet whose replicas lag 0 ms
    When databases answer 300 ms late and callers give up after 100 ms
    Then every later answer belongs to its own request

  Scenario: A request that is refused as not run did not run
    Given a fleet whose replicas lag 0 ms
    And a workload that writes and reads
    When two databases are killed until 5 writes are refused
    And the killed databases return and 20 more writes are acknowledged
    Then every promise held

  Scenario: No target sees a caller's key
    Given a fleet whose replicas lag 0 ms
    When callers write, read, run transactions and put their key into a statement
    And callers hide their key behind JSON escapes
    Then no database received a key

  Scenario: A request runs only for the team whose key came with it
    Given a fleet whose replicas lag 0 ms
    Then a request without a key is refused and did not run
    And a request with an unknown key is refused and did not run
    And a request for a service of another team is refused and did not run
    And a transaction of another team cannot be used
    And a session token of another team is refused
    And the open route is served without a key

  Scenario: Bad input gets a typed refusal and the VM serves on
    Given a fleet whose replicas lag 0 ms
    Then each bad request is refused with its code
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

  Scenario: A slow database is not flooded by retries
    Given a fleet whose replicas lag 0 ms
    When databases take 400 ms a statement and 12 callers give up after 500 ms for 4 s
    Then databases got at most 1.1 statements for each request

  Scenario: A session keeps its writes through a promotion and the death of its VM
    Given a fleet whose replicas lag 50 ms
    When a session writes, its primary and its VM are killed, and it reads at another VM
    Then every read held the row that the session wrote before it
