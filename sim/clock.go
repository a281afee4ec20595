package sim

import "container/heap"

// clock is virtual time with all that is still to happen. What falls on one
// microsecond happens in the order in which it was planned, so that one seed
// gives one history.
type clock struct {
	now    int64 // microseconds
	plans  planHeap
	number uint64
	done   int // events so far
}

type plan struct {
	at     int64
	number uint64
	do     func()
}

// after plans something; a time that is past means now, after all planned for now.
func (c *clock) after(d int64, do func()) {
	c.number++
	heap.Push(&c.plans, plan{c.now + max(0, d), c.number, do})
}

// next has the next planned thing happen; false: nothing is left before the end.
func (c *clock) next(end int64) bool {
	if len(c.plans) == 0 || c.plans[0].at > end {
		return false
	}
	p := heap.Pop(&c.plans).(plan)
	c.now = p.at
	c.done++
	p.do()
	return true
}

type planHeap []plan

func (h planHeap) Len() int { return len(h) }
func (h planHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h planHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *planHeap) Push(x any)   { *h = append(*h, x.(plan)) }
func (h *planHeap) Pop() any {
	old := *h
	p := old[len(old)-1]
	old[len(old)-1] = plan{}
	*h = old[:len(old)-1]
	return p
}
