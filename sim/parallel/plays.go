// Package parallel runs the plays of a search on all cores.
package parallel

import (
	"context"
	"runtime"
	"sync"
)

// Until plays number after number from 0 on, on all cores, until so many were played, one was
// found, or the context ends. play tells what came of one; took is given it, one at a time, and
// tells whether the search is over.
func Until[R any](
	ctx context.Context,
	most int,
	play func(n int) R,
	took func(n int, r R) (over bool),
) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next, over := 0, false
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				mu.Lock()
				n := next
				next++
				end := n >= most || over || ctx.Err() != nil
				mu.Unlock()
				if end {
					return
				}
				r := play(n)
				mu.Lock()
				over = took(n, r) || over
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
}
