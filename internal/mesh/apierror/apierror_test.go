package apierror

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

func TestEveryKindHasItsRowAndNoOtherPromises(t *testing.T) {
	names := map[string]bool{}
	for k := Kind(0); k < Kinds; k++ {
		row := k.Response()
		must.NotEq(t, 0, row.Status, must.Sprint(k))
		must.NotEq(t, "", row.Name)
		must.False(t, names[row.Name], must.Sprint(row.Name))
		names[row.Name] = true
		w := httptest.NewRecorder()
		Write(w, k, 0, "")
		must.Eq(t, row.Status, w.Code)
		// Only where nothing has run is there advice to come back, and an answer that nothing has run.
		if row.Again > 0 {
			must.True(t, k.NeverRan(), must.Sprint(k))
			must.NotEq(t, "", w.Header().Get("Retry-After"))
		}
	}
	for _, k := range []Kind{Broke, Late, Leaving} {
		must.False(t, k.NeverRan(), must.Sprint(k))
	}
}
