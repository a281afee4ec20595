package lab

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"mothcleat/internal/testing/harness"
)

// QuotaOptions describes the fleets that are compared.
type QuotaOptions struct {
	Seed   uint64
	For    time.Duration
	Load   float64
	Sizes  []int // gateways of each fleet; the first fleet is the reference
	Spread int   // gateways that each customer uses; 0: as the site draws it
	Bin    string
}

// QuotaSizes are the default sizes of the fleets.
var QuotaSizes = []int{1, 3, 8, 24}

// quotaRow is the result of one fleet.
type quotaRow struct {
	Gateways          int                       `json:"gateways"`
	Service           float64                   `json:"service"`
	Given             map[string]*harness.Share `json:"given_of_bought"`
	Over              float64                   `json:"over_quota_units"`
	Sent              float64                   `json:"sent_units"`
	MessagesPerSecond float64                   `json:"notes_per_second"` // to each gateway
	Losses            map[string]float64        `json:"losses"`
	OK                bool                      `json:"ok"`
}

// RunQuota sends the same requests to undisturbed fleets of several sizes side by side, and reports how
// much of their quotas customers got from each fleet.
func RunQuota(
	ctx context.Context, o QuotaOptions, out, progress io.Writer,
) (*harness.Summary, error) {
	if len(o.Sizes) == 0 {
		o.Sizes = QuotaSizes
	}
	remove, err := buildIfNone(ctx, &o.Bin)
	if err != nil {
		return nil, err
	}
	defer remove()
	rows, summaries, errs := make([]quotaRow,
		len(o.Sizes)), make([]*harness.Summary, len(o.Sizes)), make([]error, len(o.Sizes))
	var wg sync.WaitGroup
	for i, n := range o.Sizes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			log := io.Discard
			if i == len(o.Sizes)-1 {
				log = progress
			}
			rows[i], summaries[i], errs[i] = runQuotaWorld(ctx, o, n, log)
		}()
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%d gateways: %w", o.Sizes[i], err)
		}
	}
	last := len(rows) - 1
	f, minimum, beyond := summaries[last], 1.0, 0.0
	for i, r := range rows {
		minimum = min(minimum, r.Given[harness.NearQuota].Of, r.Given[harness.OverQuota].Of)
		beyond = max(beyond, r.Over)
		if i < last {
			for rule, n := range summaries[i].Broken {
				f.Broken[rule] += n
			}
			if !summaries[i].OK {
				f.AddFailure(fmt.Sprintf("the fleet of %d gateways failed: %v",
					r.Gateways, summaries[i].Why))
			}
		}
	}
	f.Extra["fleets"], f.Extra["given_of_bought_least"] = rows, minimum
	f.Extra["service_gap"] = rows[0].Service - rows[last].Service
	f.Extra["over_quota_units_most"], f.Extra["notes_per_second"] = beyond, rows[last].MessagesPerSecond
	printQuotaTable(out, rows)
	return f, nil
}

func runQuotaWorld(
	ctx context.Context, o QuotaOptions, gateways int, progress io.Writer,
) (quotaRow, *harness.Summary, error) {
	w, err := NewWorld(ctx, Options{Seed: o.Seed,
		Gateways:  gateways,
		Servers:   12,
		Load:      o.Load,
		Bin:       o.Bin,
		Change:    func(s *harness.Site) { s.SpreadAll(o.Spread) },
		Operators: recordText,
		Log:       progress})
	if err != nil {
		return quotaRow{}, nil, err
	}
	defer w.Close()
	trafficContext, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	w.progress(trafficContext, progress, o.For)
	w.Clients.Run(trafficContext)
	messagesPerSecond := float64(
		w.PeerNetwork.Sent.Load(),
	) / w.Record.Now().
		Seconds() /
		float64(
			gateways,
		)
	stop, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := w.Stop(stop); err != nil {
		return quotaRow{}, nil, err
	}
	f := w.summarize("quota")
	if n := w.PeerNetwork.Over.Load(); n > 0 {
		f.AddFailure(fmt.Sprintf("%d messages between gateways over %d bytes", n, maxPeerMessageBytes))
	}
	return quotaRow{
		Gateways: gateways,
		Service:  f.Service,
		Given:    harness.GivenOfBought(w.Site, w.Record),
		Over:     f.Over,
		Sent: harness.SentUnits(
			w.Record,
		),
		MessagesPerSecond: messagesPerSecond,
		Losses:            f.Losses,
		OK:                f.OK,
	}, f, nil
}

// printQuotaTable prints the results of the fleets as text.
func printQuotaTable(out io.Writer, rows []quotaRow) {
	fmt.Fprintf(out, "\n  %8s %8s %21s %12s %8s   worth lost inside the quotas, by cause\n",
		"gateways", "service", "given: under near over", "units beyond", "notes/s")
	for _, r := range rows {
		fmt.Fprintf(
			out,
			"  %8d %8.3f %8.3f %6.3f %6.3f %12.0f %8.1f  ",
			r.Gateways,
			r.Service,
			r.Given[harness.UnderQuota].Of,
			r.Given[harness.NearQuota].Of,
			r.Given[harness.OverQuota].Of,
			r.Over,
			r.MessagesPerSecond,
		)
		for _, why := range harness.ByLoss(r.Losses) {
			fmt.Fprintf(out, " %s %.3f", why, r.Losses[why])
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintln(out)
}
