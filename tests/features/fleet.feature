Feature: What must always hold over the whole fleet

  Scenario: A withdrawn key stops working for connected callers
    Given a fleet of 3 VMs
    When a caller is connected with an open transaction and its key is withdrawn at another VM
    Then within 4 s every VM refuses the key and the transaction left no row
    And the other key of the team still works

  Scenario: An accepted change is in force everywhere and survives a lost answer
    Given a fleet of 3 VMs
    When the answer of the store is lost while a change is made
    Then the change is accepted once and in force at every VM

  Scenario: Racing operators get a conflict and lose nothing
    Given a fleet of 3 VMs
    When two operators change the same version at different VMs
    Then one change is accepted, the other gets a conflict and can be repeated

  Scenario: A new VM starts from a peer while the store is down
    Given a fleet of 3 VMs
    When the store goes down and vm-1 is killed and started again
    Then vm-1 serves with the version of its peers

  Scenario: No change is accepted while the store is down and nothing reverts
    Given a fleet of 3 VMs
    When the store goes down and an operator makes a change
    Then the change is refused, the version stays and a repeat is accepted later

  Scenario: A team stays within its rate and burst over all VMs
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the team sends 5 times its rate at all VMs for 4 s
    Then no window holds more than rate and burst allow
    And at least 80% of the rate was used

  Scenario: A team stays within its rate when the ledger holder is killed
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the team sends 5 times its rate and the ledger holder of a domain is killed
    Then no window holds more than rate and burst allow

  Scenario: A team stays within its rate when the ledger holder is frozen past its lease
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the team sends 5 times its rate and the ledger holder of a domain is frozen and resumes
    Then no window holds more than rate and burst allow

  Scenario: A team stays within its rate when the store is down
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the store is down for 4 s while the team sends 5 times its rate
    Then no window holds more than rate and burst allow
    And at least 60% of the rate was used

  Scenario: A team whose callers all use one VM gets its whole rate there
    Given a fleet of 6 VMs with a team of rate 60 and burst 30
    When the team sends 80% of its rate at one VM for 4 s
    Then nothing was refused

  Scenario: A failure domain that is taken out gets no new work and no request is cut
    Given a fleet of 6 VMs
    And a workload at the VMs of the other domains
    When the domain is taken out and 4 s pass
    Then its VMs are not ready and refuse new work as not run
    And its databases get no statement while 20 more writes are acknowledged
    And no caller of the other domains was refused
    When the domain is brought back
    Then its VMs serve again

  Scenario: A leaving target gets no new work
    Given a fleet of 3 VMs
    And a workload at all VMs
    When the primary is marked as leaving and 4 s pass
    Then it gets no statement while 20 more writes are acknowledged
    And no caller was refused

  Scenario: A planned stop of a loaded VM cuts no request
    Given a fleet of 3 VMs
    And a workload at all VMs that follows refusals to other VMs
    When vm-1 gets SIGTERM
    Then it ends with status 0 and no request was cut

  Scenario: A domain that is cut off goes on serving what it can
    Given a fleet of 6 VMs
    When a domain without a primary is cut off from the others and the platform
    Then its VMs still serve reads of a stated age of 10 s from its database
    And its VMs refuse writes as not run
    And the other domains acknowledge writes

  Scenario: A paused VM does not exclude the others
    Given a fleet of 3 VMs
    When vm-1 is frozen for 4 s and resumes
    Then vm-1 never judged another VM dead

  Scenario: A cut-off domain whose ledger holder dies goes on serving
    Given a fleet of 6 VMs
    When a domain without a primary is cut off from the others and the platform
    And the ledger holder of the cut-off domain is killed
    Then its VMs still serve reads of a stated age of 60 s from its database

  Scenario: A planned stop waits for open transactions
    Given a fleet of 3 VMs
    When vm-1 gets SIGTERM while a caller has a transaction open
    Then the transaction can be committed and vm-1 ends with status 0

  Scenario: All VMs are replaced one after the other under load
    Given a fleet of 3 VMs
    And a workload at all VMs that follows refusals to other VMs
    When each VM is killed and started again in turn
    Then no acknowledged write was lost and none ran twice

  Scenario: Scarce connections are shared and never exceeded
    Given a fleet of 3 VMs before databases with 6 connections
    And a workload at all VMs
    When 100 more writes are acknowledged
    Then no database had more than 6 connections and no caller was refused
