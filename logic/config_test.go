package logic

import "testing"

// A new configuration with fewer attempts and another tariff applies to new transactions only. Open ones keep theirs,
// and the learned limit and hedge delay stay.
func TestReconfigureKeepsConfigOfOpenTransactions(t *testing.T) {
	first := testConfig(testTariff(Idempotent, Everywhere))
	h := newHarness(t, first, 4, 1)
	h.settle(minSamples+20, 50*ms)
	before, limit, hedgeDelay := h.arrive(0, 3*sec), h.b.limit, h.b.hedgeDelay
	h.round(ms)
	next := testConfig(testTariff(NonIdempotent, Everywhere))
	next.MaxAttempts = 1
	if err := h.b.Reconfigure(next, h.now); err != nil {
		t.Fatal(err)
	}
	h.config = next
	after := h.arrive(0, 3*sec)
	h.round(ms)
	if h.b.limit != limit || h.b.hedgeDelay != hedgeDelay || hedgeDelay == 0 {
		t.Errorf("limit %v, was %v; hedge delay %v, was %v", h.b.limit, limit, h.b.hedgeDelay, hedgeDelay)
	}
	for _, req := range []*testRequest{before, after} {
		h.deliver(req, 0, Errored)
		h.round(ms)
	}
	if len(before.attempts) != 2 || before.answered {
		t.Errorf("idempotent transaction: %d attempts, answered %t", len(before.attempts), before.answered)
	}
	if len(after.attempts) != 1 || !after.answered {
		t.Errorf("non-idempotent transaction: %d attempts, answered %t", len(after.attempts), after.answered)
	}
	if h.b.Reconfigure(&Config{Balancers: 1}, h.now) == nil || h.b.config != next {
		t.Error("a configuration without tariffs was accepted")
	}
}

// The time that a slow client takes to send its body must not count against the upstream, time out the transaction or
// look like congestion.
func TestTimeStartsWhenBodyIsReceived(t *testing.T) {
	config := testConfig(testTariff(Idempotent, Everywhere))
	config.Tariffs[0].LateEarnings = 0
	h := newHarness(t, config, 4, 1)
	h.settle(minSamples+20, 50*ms)
	req := h.arriveStreaming(0)
	h.runUntil(h.now + 10*sec)
	upstream := req.attempts[0].upstream
	if req.answered || len(req.attempts) != 1 || h.b.failures[upstream] != 0 || h.b.active != 0 {
		t.Fatalf("answered %t, %d attempts, %d failures of the upstream, %d active",
			req.answered, len(req.attempts), h.b.failures[upstream], h.b.active)
	}
	h.receiveBodies(1)
	begin := h.now
	h.round(ms)
	if h.b.active != 1 {
		t.Error("not active after its body was received")
	}
	for !req.answered {
		h.round(5 * ms)
	}
	if took := h.now - begin; took > sec+10*ms || len(req.attempts) != 1 {
		t.Errorf("ended after %d ms with %d attempts", took/ms, len(req.attempts))
	}
}

// Two processes of one balancer each give a cold upstream half of the tokens.
func TestProcessesSplitColdBudget(t *testing.T) {
	tokens := [2]float64{}
	for n := range tokens {
		h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 4, 1)
		h.b.SetProcesses(n + 1)
		h.list(0, Upstream{Weight: 1, StartedAt: h.now})
		h.b.Round(h.now, h)
		h.b.warmRate, h.b.tokens[0], h.b.refilledAt[0] = 1e-9, 0, h.now
		h.b.now += sec / 4
		tokens[n] = h.b.refill(0)
	}
	if tokens[0] == 0 || tokens[1] != tokens[0]/2 {
		t.Errorf("tokens %v", tokens)
	}
}
