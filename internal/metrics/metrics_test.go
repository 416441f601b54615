package metrics

import (
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestRender(t *testing.T) {
	r := gometrics.NewRegistry()
	requests := func(code string) string { return Name("requests_total", Label{"op", "call"}, Label{"code", code}) }
	gometrics.GetOrRegisterCounter(requests(`a"b`), r).Inc(3)
	gometrics.GetOrRegisterCounter(requests("ok"), r).Inc(2)
	gometrics.GetOrRegisterGauge(Name("workers"), r).Update(48)
	gometrics.GetOrRegisterGaugeFloat64(Name("share.distance"), r).Update(0.25)
	gometrics.GetOrRegisterTimer(Name("wait_seconds", Label{"team", "a"}), r).Update(2 * time.Second)
	gometrics.GetOrRegisterHistogram(Name("batch"), r, gometrics.NewUniformSample(8)).Update(7)

	var b strings.Builder
	require.NoError(t, Render(&b, r))
	want := `# TYPE pollenbend_batch summary
pollenbend_batch{quantile="0.5"} 7
pollenbend_batch{quantile="0.9"} 7
pollenbend_batch{quantile="0.99"} 7
pollenbend_batch{quantile="0.999"} 7
pollenbend_batch_count 1
# TYPE pollenbend_requests_total counter
pollenbend_requests_total{code="a\"b",op="call"} 3
pollenbend_requests_total{code="ok",op="call"} 2
# TYPE pollenbend_share_distance gauge
pollenbend_share_distance 0.25
# TYPE pollenbend_wait_seconds summary
pollenbend_wait_seconds{team="a",quantile="0.5"} 2
pollenbend_wait_seconds{team="a",quantile="0.9"} 2
pollenbend_wait_seconds{team="a",quantile="0.99"} 2
pollenbend_wait_seconds{team="a",quantile="0.999"} 2
pollenbend_wait_seconds_count{team="a"} 1
# TYPE pollenbend_workers gauge
pollenbend_workers 48
`
	require.Equal(t, want, b.String())
}
