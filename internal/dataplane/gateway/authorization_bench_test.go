package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"mothcleat/internal/dataplane/forwardauth"
)

// BenchmarkAuthorization measures requests through a gateway whose backend and authenticator reply
// at once: without authorization, with a cached verdict, and with one authenticator call for each
// request. The quantiles are in microseconds.
func BenchmarkAuthorization(b *testing.B) {
	for _, kind := range []string{"off", "warm", "cold"} {
		b.Run(kind, func(b *testing.B) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if kind == "cold" {
					w.Header().Set("Cache-Control", "no-store")
				}
			}))
			defer s.Close()
			back := newFakeBackend(b)
			d := newFakeDiscovery(b, back.memberJSON("s-00000001", "Ready"))
			cfg := testConfig(b, d, nil)
			if kind != "off" {
				cfg = authConfig(b, d, s.URL)
			}
			cfg.Settings.Plans[0].Rate, cfg.Settings.Plans[0].Burst = 1e9, 1e9
			r := startGateway(b, cfg)
			go func() {
				for call := range back.commands {
					_, _ = call.conn.Write([]byte("*1\r\n$2\r\nok\r\n"))
				}
			}()
			c := r.dialClient(b)
			_ = c.conn.SetDeadline(time.Time{})
			var durations []time.Duration
			n := 0
			for b.Loop() {
				n++
				start := time.Now()
				c.sendLookup(n, "60000")
				c.wantValue("ok")
				durations = append(durations, time.Since(start))
			}
			slices.Sort(durations)
			for _, p := range []float64{0.5, 0.99, 0.999} {
				b.ReportMetric(
					float64(durations[int(p*float64(len(durations)-1))].Microseconds()),
					fmt.Sprintf("p%g-us", p*100),
				)
			}
		})
	}
}

// BenchmarkKey measures the computation of a question's cache key.
func BenchmarkKey(b *testing.B) {
	q := forwardauth.Question{
		Credential: &forwardauth.Credential{Secret: "token"},
		Customer:   "0000000000000007",
		Plan:       "team",
		Class:      "lookup",
		Units:      1,
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Key()
	}
}
