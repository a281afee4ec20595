package sim

import (
	"time"

	"mothcleat/internal/testing/harness"
)

// RunSummary plays one world and returns its summary with figures of the simulation itself.
func RunSummary(o Options) (*harness.Summary, error) {
	began := time.Now()
	w, err := New(o)
	if err != nil {
		return nil, err
	}
	w.Run()
	took := time.Since(began).Seconds()
	f := w.Summary("sim")
	gateways := float64(len(w.gateways))
	f.Extra["gateways"] = len(w.gateways)
	f.Extra["customers"] = len(w.Site.Customers)
	f.Extra["servers"] = len(w.servers)
	f.Extra["digest"] = w.Digest()
	f.Extra["events"] = w.Events()
	f.Extra["events_per_second"] = float64(w.Events()) / took
	f.Extra["times_real"] = o.Duration.Seconds() / took
	f.Extra["given_of_bought"] = harness.GivenOfBought(w.Site, w.Record)
	f.Extra["sent_units"] = harness.SentUnits(w.Record)
	f.Extra["notes_per_second"] = float64(w.PeerMessages.Sent) / f.Seconds / gateways
	f.Extra["note_bytes_per_try"] = float64(w.PeerMessages.Bytes) / float64(max(1, f.Taken))
	f.Extra["notes_in_a_second_most"] = w.PeerMessages.MaxReceivedPerSecond
	return f, nil
}
