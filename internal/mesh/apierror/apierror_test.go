package apierror

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Each kind needs a response with a name of its own. Kinds of requests that may have run must not be reported as not
// executed.
func TestEveryKindHasAResponse(t *testing.T) {
	names := map[string]bool{}
	for k := Kind(0); k < KindCount; k++ {
		response := k.Response()
		must.NotEq(t, 0, response.Status, must.Sprint(k))
		must.NotEq(t, "", response.Name)
		must.False(t, names[response.Name], must.Sprint(response.Name))
		names[response.Name] = true
		w := httptest.NewRecorder()
		Write(w, k, 0, "")
		must.Eq(t, response.Status, w.Code)
		// A Retry-After header is sent only for a request that has not run.
		if response.RetryAfter > 0 {
			must.True(t, k.NotExecuted(), must.Sprint(k))
			must.NotEq(t, "", w.Header().Get("Retry-After"))
		}
	}
	for _, k := range []Kind{IncompleteResponse, DeadlineExceeded, ShuttingDown} {
		must.False(t, k.NotExecuted(), must.Sprint(k))
	}
}
