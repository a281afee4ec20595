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

// BenchmarkAuthorization times requests through a gateway whose backend and authenticator
// answer at once: asking nobody, with the verdict in the cache, and with a call for
// each request. The quantiles are in microseconds.
func BenchmarkAuthorization(b *testing.B) {
	for _, kind := range []string{"off", "warm", "cold"} {
		b.Run(kind, func(b *testing.B) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if kind == "cold" {
					w.Header().Set("Cache-Control", "no-store")
				}
			}))
			defer s.Close()
			back := newBackend(b)
			d := newFakeDiscovery(b, back.entry("s-00000001", "Ready"))
			cfg := configure(b, d, nil)
			if kind != "off" {
				cfg = asking(b, d, s.URL)
			}
			cfg.Settings.Plans[0].Rate, cfg.Settings.Plans[0].Burst = 1e9, 1e9
			r := begin(b, cfg)
			go func() {
				for call := range back.got {
					_, _ = call.conn.Write([]byte("*1\r\n$2\r\nok\r\n"))
				}
			}()
			c := r.client(b)
			_ = c.conn.SetDeadline(time.Time{})
			var took []time.Duration
			n := 0
			for b.Loop() {
				n++
				began := time.Now()
				c.lookup(n, "60000")
				c.value("ok")
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			for _, p := range []float64{0.5, 0.99, 0.999} {
				b.ReportMetric(
					float64(took[int(p*float64(len(took)-1))].Microseconds()),
					fmt.Sprintf("p%g-us", p*100),
				)
			}
		})
	}
}

// BenchmarkKey times what a question costs before it is looked up.
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
