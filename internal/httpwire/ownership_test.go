package httpwire

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ottershift/internal/desk"
)

// blockingRegistry is a registry whose checks block until their context ends.
type blockingRegistry struct{ ended []Completion }

func (registry *blockingRegistry) Begin(OwnershipRequest) Ownership { return registry }
func (registry *blockingRegistry) Check(ctx context.Context) (*desk.Location, Admission) {
	<-ctx.Done()
	return nil, Defer
}
func (registry *blockingRegistry) Acquire(context.Context, *desk.Attempt, bool) error { return nil }
func (registry *blockingRegistry) Release(completion Completion) {
	registry.ended = append(registry.ended, completion)
}

// A transaction must be answered before its hard stop even if the registry does not answer. Transactions that may
// run any number of times must not ask the registry.
func TestOwnershipCheckEndsAtTheDeadline(t *testing.T) {
	front, _ := newTestFrontEnd(t)
	registry := &blockingRegistry{}
	front.SetOwnershipRegistry(registry)
	send := func(tariff string) (*httptest.ResponseRecorder, time.Duration) {
		req := httptest.NewRequest(http.MethodPost, "/"+tariff, strings.NewReader("x"))
		req.Header.Set("X-Txn", "1")
		req.Header.Set("Idempotency-Key", "k")
		req.Header.Set("X-Remaining", "0.080")
		w := httptest.NewRecorder()
		started := time.Now()
		front.ServeHTTP(w, req)
		return w, time.Since(started)
	}
	if w, took := send("load"); w.Code != http.StatusServiceUnavailable || took > 130*time.Millisecond ||
		len(registry.ended) != 1 || registry.ended[0] != NeverRan {
		t.Errorf("answered %d after %s, ended %v", w.Code, took, registry.ended)
	}
	if send("view"); len(registry.ended) != 1 {
		t.Error("an idempotent transaction asked the ownership registry")
	}
}
