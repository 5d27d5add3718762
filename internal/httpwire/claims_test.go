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

// slowClaims is a ledger that is asked for as long as one waits for it.
type slowClaims struct{ ended []End }

func (s *slowClaims) Begin(Claimed) Claim { return s }
func (s *slowClaims) Open(ctx context.Context) (*desk.Location, Fate) {
	<-ctx.Done()
	return nil, Defers
}
func (s *slowClaims) Take(context.Context, *desk.Attempt, bool) error { return nil }
func (s *slowClaims) End(how End)                                     { s.ended = append(s.ended, how) }

// Whatever the ledger takes, a transaction has its answer before its hard stop; what may run any number of times never asks it.
func TestTheLedgerIsAskedWithinTheTime(t *testing.T) {
	f, _ := front(t)
	claims := &slowClaims{}
	f.Claim(claims)
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
