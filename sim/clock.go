package sim

import "container/heap"

// clock is virtual time with all scheduled events. Events at the same microsecond happen in the
// order in which they were scheduled, so that one seed gives one history.
type clock struct {
	// now is in microseconds.
	now        int64
	events     eventHeap
	nextNumber uint64
	// processed counts events.
	processed int
}

type scheduledEvent struct {
	at     int64
	number uint64
	do     func()
}

// after schedules an event after a delay in microseconds. A negative delay means now, after
// everything scheduled for now.
func (c *clock) after(d int64, do func()) {
	c.nextNumber++
	heap.Push(&c.events, scheduledEvent{c.now + max(0, d), c.nextNumber, do})
}

// next runs the next event, and returns false if there is none before the end.
func (c *clock) next(end int64) bool {
	if len(c.events) == 0 || c.events[0].at > end {
		return false
	}
	p := heap.Pop(&c.events).(scheduledEvent)
	c.now = p.at
	c.processed++
	p.do()
	return true
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	p := old[len(old)-1]
	old[len(old)-1] = scheduledEvent{}
	*h = old[:len(old)-1]
	return p
}
