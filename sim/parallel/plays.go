// Package parallel runs the plays of a search concurrently on all cores.
package parallel

import (
	"context"
	"runtime"
	"sync"
)

// Until calls play with 0, 1, 2 and so on, concurrently on all cores. It starts no further play
// once maxPlays were started, add has returned true, or the context has ended. It returns when all
// started plays have ended. add is called with each play's result, by one goroutine at a time, and
// reports whether the search is over.
func Until[R any](
	ctx context.Context,
	maxPlays int,
	play func(n int) R,
	add func(n int, result R) (over bool),
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
				end := n >= maxPlays || over || ctx.Err() != nil
				mu.Unlock()
				if end {
					return
				}
				result := play(n)
				mu.Lock()
				over = add(n, result) || over
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
}
