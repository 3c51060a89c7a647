Feature: Guarantees of the whole fleet

  Scenario: A withdrawn key stops working for connected callers
    Given a fleet of 3 VMs
    When a caller is connected with an open transaction and its key is withdrawn at another VM
    Then within 4 s every VM rejects the key and the transaction left no row
    And the other key of the team still works

  Scenario: An accepted change reaches every VM even if the store's response is lost
    Given a fleet of 3 VMs
    When the response of the store to a change is lost
    Then the change is accepted once and applied at every VM

  Scenario: Of two concurrent changes one is accepted and the other gets a conflict
    Given a fleet of 3 VMs
    When two operators change the same version at different VMs
    Then one change is accepted, the other gets a conflict and can be retried

  Scenario: A restarted VM gets its configuration from a peer while the store is down
    Given a fleet of 3 VMs
    When the store goes down and vm-1 is killed and restarted
    Then vm-1 serves with the version of its peers

  Scenario: While the store is down no change is accepted and the version is kept
    Given a fleet of 3 VMs
    When the store goes down and an operator makes a change
    Then the change is rejected, the version is kept and a retry is accepted later

  Scenario: A team stays within its rate and burst over all VMs
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the team sends 5 times its rate at all VMs for 4 s
    Then no window exceeds rate and burst
    And at least 80% of the rate was used

  Scenario: A team stays within its rate when the ledger holder is killed
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the team sends 5 times its rate and the ledger holder of a domain is killed
    Then no window exceeds rate and burst

  Scenario: A team stays within its rate when the ledger holder is frozen past its lease
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the team sends 5 times its rate and the ledger holder of a domain is frozen and resumes
    Then no window exceeds rate and burst

  Scenario: A team stays within its rate when the store is down
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the store is down for 4 s while the team sends 5 times its rate
    Then no window exceeds rate and burst
    And at least 60% of the rate was used

  Scenario: A team whose callers use a single VM gets its full rate there
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the team sends 80% of its rate at one VM for 4 s
    Then no request of the team was rejected

  Scenario: A failure domain that is taken out of service gets no new work and no request is aborted
    Given a fleet of 6 VMs
    And a workload at the VMs of the other domains
    When the domain is taken out of service and 4 s pass
    Then its VMs are not ready and reject new work as not run
    And its databases get no statement while 20 more writes are acknowledged
    And no request in the other domains was rejected
    When the domain is put back into service
    Then its VMs serve again

  Scenario: A leaving target gets no new work
    Given a fleet of 3 VMs
    And a workload at all VMs
    When the primary is marked as leaving and 4 s pass
    Then it gets no statement while 20 more writes are acknowledged
    And no request was rejected

  Scenario: A graceful shutdown of a loaded VM aborts no request
    Given a fleet of 3 VMs
    And a workload at all VMs whose sessions switch VMs
    When vm-1 gets SIGTERM
    Then it exits with status 0 and no request was aborted

  Scenario: An isolated domain still serves stale reads
    Given a fleet of 6 VMs
    When a domain without a primary is partitioned from the others and the platform
    Then its VMs still serve reads with a maximum age of 10 s from its database
    And its VMs reject writes as not run
    And the other domains acknowledge writes

  Scenario: A paused VM does not mark other VMs as dead
    Given a fleet of 3 VMs
    When vm-1 is frozen for 4 s and resumes
    Then vm-1 never marked another VM as dead

  Scenario: An isolated domain keeps serving reads after its ledger holder is killed
    Given a fleet of 6 VMs
    When a domain without a primary is partitioned from the others and the platform
    And the ledger holder of the isolated domain is killed
    Then its VMs still serve reads with a maximum age of 60 s from its database

  Scenario: A graceful shutdown waits for open transactions
    Given a fleet of 3 VMs
    When vm-1 gets SIGTERM while a caller has a transaction open
    Then the transaction can be committed and vm-1 exits with status 0

  Scenario: All VMs are restarted one after the other under load
    Given a fleet of 3 VMs
    And a workload at all VMs whose sessions switch VMs
    When each VM is killed and restarted in turn
    Then no acknowledged write was lost and none ran twice

  Scenario: VMs share a small number of connections and never exceed it
    Given a fleet of 3 VMs and databases with 6 connections
    And a workload at all VMs
    When 100 more writes are acknowledged
    Then no database had more than 6 connections and no request was rejected
