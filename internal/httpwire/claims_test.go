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

// blockingRegistry is a ledger that is asked for as long as one waits for it.
type blockingRegistry struct{ ended []Completion }

func (s *blockingRegistry) Begin(OwnershipRequest) Ownership { return s }
func (s *blockingRegistry) Check(ctx context.Context) (*desk.Location, Admission) {
	<-ctx.Done()
	return nil, Defer
}
func (s *blockingRegistry) Acquire(context.Context, *desk.Attempt, bool) error { return nil }
func (s *blockingRegistry) Release(how Completion)                             { s.ended = append(s.ended, how) }

// Whatever the ledger takes, a transaction has its answer before its hard stop; what may run any number of times never asks it.
func TestOwnershipCheckEndsAtTheDeadline(t *testing.T) {
	f, _ := newTestFrontEnd(t)
	claims := &blockingRegistry{}
	f.SetOwnershipRegistry(claims)
	ask := func(tariff string) (*httptest.ResponseRecorder, time.Duration) {
		r := httptest.NewRequest(http.MethodPost, "/"+tariff, strings.NewReader("x"))
		r.Header.Set("X-Txn", "1")
		r.Header.Set("Idempotency-Key", "k")
		r.Header.Set("X-Remaining", "0.080")
		w := httptest.NewRecorder()
		begun := time.Now()
		f.ServeHTTP(w, r)
		return w, time.Since(begun)
	}
	if w, took := ask("load"); w.Code != http.StatusServiceUnavailable || took > 130*time.Millisecond || len(claims.ended) != 1 || claims.ended[0] != NeverRan {
		t.Errorf("answered %d after %s, ended %v", w.Code, took, claims.ended)
	}
	if ask("view"); len(claims.ended) != 1 {
		t.Error("repeatable work asked the ledger")
	}
}
