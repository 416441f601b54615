package httpapi

import (
	"net/http/httptest"
	"strings"
	"testing"

	"pollenbend/internal/httpapi/wire"
)

// BenchmarkCall measures one call from the parsed request to the written answer,
// without the network and the core.
func BenchmarkCall(b *testing.B) {
	h := newAPI(&scriptedCore{})
	const body = `{"queue":"desk","service":"remind","class":"urgent","timeout":"5s","payload":{"client":2041}}`
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest("POST", "/v1/requests", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer k")
		r.Header.Set(wire.HeaderIdempotencyKey, "i")
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
}
