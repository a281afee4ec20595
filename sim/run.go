package sim

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"mothcleat/internal/trial"
)

// RunFigures plays one world and gives its figures with those of the emulator itself.
func RunFigures(o Options) (*trial.Figures, error) {
	began := time.Now()
	w, err := New(o)
	if err != nil {
		return nil, err
	}
	w.Run()
	took := time.Since(began).Seconds()
	f := w.Figures("sim")
	gateways := float64(len(w.gateways))
	f.Extra["gateways"], f.Extra["customers"], f.Extra["servers"] = len(w.gateways), len(w.Site.Customers), len(w.servers)
	f.Extra["digest"], f.Extra["events"] = w.Digest(), w.Events()
	f.Extra["events_per_second"], f.Extra["times_real"] = float64(w.Events())/took, o.For.Seconds()/took
	f.Extra["given_of_bought"], f.Extra["sent_units"] = trial.GivenOfBought(w.Site, w.Record), trial.SentUnits(w.Record)
	f.Extra["notes_per_second"] = float64(w.Notes.Sent) / f.Seconds / gateways
	f.Extra["note_bytes_per_try"] = float64(w.Notes.Bytes) / float64(max(1, f.Taken))
	f.Extra["notes_in_a_second_most"] = w.Notes.MostIn
	return f, nil
}

// Each plays worlds over all cores and hands out their figures in the order of the
// options. Every run has one goroutine, and shares nothing with others.
func Each(ctx context.Context, options []Options, progress io.Writer) ([]*trial.Figures, error) {
	figures, errs := make([]*trial.Figures, len(options)), make([]error, len(options))
	var wg sync.WaitGroup
	var mu sync.Mutex
	done, began := 0, time.Now()
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, o := range options {
		wg.Add(1)
		go func() {
			defer wg.Done()
			room <- struct{}{}
			defer func() { <-room }()
			if errs[i] = ctx.Err(); errs[i] != nil {
				return
			}
			figures[i], errs[i] = RunFigures(o)
			mu.Lock()
			defer mu.Unlock()
			done++
			left := time.Duration(float64(time.Since(began)) / float64(done) * float64(len(options)-done))
			fmt.Fprintf(progress, "%d of %d worlds played, %v to go\n", done, len(options), left.Round(time.Second))
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return figures, nil
}
