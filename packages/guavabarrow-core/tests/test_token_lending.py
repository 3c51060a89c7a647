"""Lent tokens in virtual time stay within the rate for any order of events."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from guavabarrow_core.token_lending import GRANT_TTL_S, DomainBucket, TokenCache

RATE = 50.0
BURST = 20.0
DOMAINS = 2
VMS = ("a", "b", "c")


class Ledgers(RuleBasedStateMachine):
    """Two domain ledgers with three VMs each, lost grants and changes of holder."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.buckets = [
            DomainBucket(RATE / DOMAINS, BURST / DOMAINS, 0.0, BURST / DOMAINS)
            for _ in range(DOMAINS)
        ]
        self.caches = [{vm: TokenCache() for vm in VMS} for _ in range(DOMAINS)]
        self.spent = []

    @rule(seconds=st.floats(0.001, 0.8))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(
        domain=st.integers(0, DOMAINS - 1),
        vm=st.sampled_from(VMS),
        wanted=st.floats(0.5, 30.0),
        lost=st.booleans(),
        delay=st.floats(0.0, 0.2),
    )
    def borrow(self, domain, vm, wanted, lost, delay):
        cache = self.caches[domain][vm]
        sent_at = self.now
        cache.wanted(0.0, self.now)
        held = cache.tokens
        returned = cache.take_returned()
        self.now += delay
        grant = self.buckets[domain].grant(
            vm, wanted=wanted, held=held, returned=returned, now=self.now
        )
        if not lost:
            expires_at = sent_at + grant.ttl_s
            cache.add(grant.tokens, expires_at=expires_at, now=self.now)

    @rule(domain=st.integers(0, DOMAINS - 1), vm=st.sampled_from(VMS))
    def spend_all(self, domain, vm):
        while self.caches[domain][vm].spend(1.0, self.now):
            self.spent.append(self.now)

    @rule(lender=st.integers(0, DOMAINS - 1), wanted=st.floats(0.5, 30.0))
    def lend(self, lender, wanted):
        tokens = self.buckets[lender].lend(wanted, self.now)
        self.buckets[1 - lender].receive(tokens, self.now)

    @rule(domain=st.integers(0, DOMAINS - 1))
    def new_holder(self, domain):
        self.buckets[domain] = DomainBucket(
            RATE / DOMAINS, BURST / DOMAINS, self.now + GRANT_TTL_S
        )

    @invariant()
    def no_window_exceeds_the_rate(self):
        end = len(self.spent)
        for start in range(end):
            duration = self.spent[end - 1] - self.spent[start]
            assert end - start <= RATE * duration + BURST + 1e-6


Ledgers.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestLedgers = Ledgers.TestCase


def test_repeated_requests_get_the_whole_rate():
    bucket = DomainBucket(RATE, BURST, 0.0, BURST)
    cache = TokenCache()
    spent = 0
    for tick in range(1, 1001):
        now = tick / 100
        wanted = cache.wanted(1.0, now)
        grant = bucket.grant("a", wanted=wanted, held=cache.tokens, now=now)
        cache.add(grant.tokens, expires_at=now + grant.ttl_s, now=now)
        spent += cache.spend(1.0, now)
    assert spent >= 0.99 * RATE * 10


def test_lender_keeps_a_reserve_for_local_demand():
    bucket = DomainBucket(RATE, BURST, 0.0, BURST)
    bucket.grant("a", wanted=10.0, held=0.0, now=0.0)
    assert bucket.lend(100.0, 0.0) <= BURST - 10.0 - 5.0


def test_fractions_of_tokens_add_up_to_the_cost():
    cache = TokenCache()
    for _ in range(10):
        cache.add(0.1, expires_at=1.0, now=0.0)
    assert cache.spend(1.0, now=0.5)


def test_expired_tokens_are_returned():
    bucket = DomainBucket(RATE, BURST, 0.0, BURST)
    cache = TokenCache()
    grant = bucket.grant("a", wanted=10.0, held=0.0, now=0.0)
    cache.add(grant.tokens, expires_at=grant.ttl_s, now=0.0)
    assert cache.spend(4.0, now=0.1)
    assert not cache.spend(1.0, now=grant.ttl_s)
    returned = cache.take_returned()
    assert returned == 6.0
    empty = DomainBucket(0.0, BURST, 0.0, 0.0)
    empty.grant("a", wanted=0.0, held=0.0, now=0.0)
    assert empty.grant("a", wanted=6.0, held=0.0, returned=0.0, now=1.0).tokens == 0.0
    full = DomainBucket(0.0, BURST, 0.0, 10.0)
    full.grant("a", wanted=10.0, held=0.0, now=0.0)
    again = full.grant("a", wanted=10.0, held=0.0, returned=returned, now=1.2)
    assert again.tokens == 6.0


def test_no_more_tokens_are_returned_than_were_granted():
    bucket = DomainBucket(0.0, BURST, 0.0, 5.0)
    bucket.grant("a", wanted=5.0, held=0.0, now=0.0)
    assert bucket.grant("a", wanted=9.0, held=0.0, returned=9.0, now=0.5).tokens <= 5.0
    assert bucket.grant("b", wanted=9.0, held=0.0, returned=9.0, now=0.5).tokens == 0.0
