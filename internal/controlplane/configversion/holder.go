package configversion

import (
	"maps"
	"slices"
	"time"
)

// Holder is one process's side: what it may act on. Times are of its own clock, which must go on while the process lies
// stopped.
type Holder struct {
	rules Rules
	items map[string]*holding
	heard bool          // an answer has come
	seq   uint64        // of the state that it was by
	out   string        // why nothing may be acted on; "": it may
	until time.Duration // of what was heard
	fell  time.Duration // when it was last shut out; 0: not since it began
	times int           // it was, in a row
	back  time.Duration // it acts again from then on
	shut  bool          // it is shut out now
	acted bool          // it acted on something once
	outs  uint64
}

// holding is one item.
type holding struct {
	target  Target
	from    time.Duration            // the target holds from then on
	may     map[uint64]time.Duration // until when it may be acted on
	inForce uint64                   // at first 1: as this process's configuration has it
	had     map[string]bool          // digests whose content is here and was checked
	refused map[string]string        // digests that can't be acted on here
}

// NewHolder is a process that may act on nothing yet.
func NewHolder(r Rules) *Holder { return &Holder{rules: r, items: map[string]*holding{}} }

// Hear takes in the answer to what was asked at a time.
func (h *Holder) Hear(now, sent time.Duration, t *Told) {
	h.look(now)
	if h.heard && t.Seq < h.seq {
		return // an older answer, overtaken
	}
	h.heard, h.out, h.seq = true, t.Out, t.Seq
	if t.Out != "" {
		h.look(now)
		return
	}
	h.until = max(h.until, sent+h.rules.Span)
	for _, g := range t.Target {
		i := h.items[g.Item]
		if i == nil {
			i = &holding{inForce: 1, had: map[string]bool{"": true}, refused: map[string]string{}}
			h.items[g.Item] = i
		}
		if g.Number != i.target.Number {
			i.from = now + g.In
		}
		i.target = g
		may := map[uint64]time.Duration{}
		for number, span := range g.May {
			// A permit that was given is not lessened by an older answer, nor by one of a leader that counts less time.
			may[number] = max(sent+min(span, h.rules.Span), i.may[number])
		}
		i.may = may // a number that is not named any more was withdrawn, or has ended
	}
	h.look(now)
}

// Wants are the contents that are not here yet: of the target first, and of what others may act on beside it.
func (h *Holder) Wants() (all []Ref) {
	for _, item := range slices.Sorted(maps.Keys(h.items)) {
		i := h.items[item]
		for _, r := range append([]Ref{i.target.Ref}, i.target.Beside...) {
			if !i.had[r.Digest] && i.refused[r.Digest] == "" && !slices.Contains(all, r) {
				all = append(all, r)
			}
		}
	}
	return all
}

// Checked takes in that a content is here and can be acted on, or why it can't be.
func (h *Holder) Checked(digest string, why string) {
	for _, i := range h.items {
		if why == "" {
			i.had[digest] = true
		} else {
			i.refused[digest] = why
		}
	}
}

// Lost takes in that a content that was here is not to be had any more: it is wanted again.
func (h *Holder) Lost(digest string) {
	for _, i := range h.items {
		if digest != "" {
			delete(i.had, digest)
		}
	}
}

// Target is what an item is to be.
func (h *Holder) Target(item string) Ref {
	if i := h.items[item]; i != nil {
		return i.target.Ref
	}
	return Ref{}
}

// ItemsOf are the items for which a content is wanted.
func (h *Holder) ItemsOf(digest string) (all []string) {
	for _, item := range h.Items() {
		t := &h.items[item].target
		if t.Digest == digest || slices.ContainsFunc(t.Beside, func(r Ref) bool { return r.Digest == digest }) {
			all = append(all, item)
		}
	}
	return all
}

// Refused is why a content can't be acted on here; "": it can, as far as is known.
func (h *Holder) Refused(item, digest string) string {
	if i := h.items[item]; i != nil {
		return i.refused[digest]
	}
	return ""
}

// Next is the target of an item if it is to be put in force now: its content is here, and it holds. Beside are the others whose terms
// bind as well: those of them whose content can't be had are not among them, and whole is false.
func (h *Holder) Next(now time.Duration, item string) (to Ref, beside []Ref, whole, ok bool) {
	i := h.items[item]
	if i == nil || i.target.Number == 0 || !i.had[i.target.Digest] || now < i.from {
		return to, nil, false, false
	}
	whole = true
	for _, r := range i.target.Beside {
		switch {
		case i.had[r.Digest]:
			beside = append(beside, r)
		case i.refused[r.Digest] == "":
			whole = false
		}
	}
	return i.target.Ref, beside, whole, true
}

// PutInForce takes in that an item's version decides from now on. A lower number than before is passed over.
func (h *Holder) PutInForce(now time.Duration, item string, number uint64) {
	if i := h.items[item]; i != nil && number > i.inForce {
		i.inForce = number
	}
	h.look(now)
}

// InForce is what this process acts on, by item.
func (h *Holder) InForce() map[string]uint64 {
	all := map[string]uint64{}
	for item, i := range h.items {
		all[item] = i.inForce
	}
	return all
}

// Items are the items that are known.
func (h *Holder) Items() []string { return slices.Sorted(maps.Keys(h.items)) }

// Acts tells until when this process may act by what is in force; 0: it is shut out. It has to be asked at the last
// moment before each act.
func (h *Holder) Acts(now time.Duration) time.Duration {
	return h.look(now)
}

// look brings up whether this process is shut out.
func (h *Holder) look(now time.Duration) time.Duration {
	until := h.permitted(now)
	switch {
	case until == 0 && !h.shut:
		if h.fell != 0 && now-h.fell < h.rules.DampFor {
			h.times++
		} else {
			h.times = 0
		}
		if h.shut = true; h.acted { // one that never acted has not fallen
			h.fell = now
			h.outs++
		}
	case until != 0 && h.shut:
		if h.back == 0 {
			h.back = now + h.wait()
		}
		if now < h.back {
			return 0
		}
		h.shut, h.back = false, 0
	case until == 0:
		h.back = 0
	}
	h.acted = h.acted || until != 0
	return until
}

// wait is how long one that flaps stays out after it may act again.
func (h *Holder) wait() time.Duration {
	if h.times == 0 {
		return 0
	}
	return min(h.rules.Damp<<min(h.times-1, 6), h.rules.DampFor/2)
}

// permitted is until when all that is in force may be acted on; 0: not now.
func (h *Holder) permitted(now time.Duration) time.Duration {
	if !h.heard || h.out != "" || now >= h.until {
		return 0
	}
	until := h.until
	for _, i := range h.items {
		end := i.may[i.inForce]
		if now >= end {
			return 0
		}
		until = min(until, end)
	}
	return until
}

// Why is why this process is shut out.
func (h *Holder) Why(now time.Duration) string {
	switch {
	case h.Acts(now) != 0:
		return ""
	case !h.heard:
		return "it has not heard the fleet yet"
	case h.out != "":
		return h.out
	case now >= h.until:
		return "it has not heard the fleet for too long"
	case now < h.back:
		return "it was shut out more than once"
	}
	for _, item := range h.Items() {
		i := h.items[item]
		if why := i.refused[i.target.Digest]; why != "" {
			return item + ": " + why
		}
		if i.inForce != i.target.Number {
			return item + ": it has not caught up"
		}
	}
	return "its permits are over"
}

// Outs is how often it was shut out since it first acted.
func (h *Holder) Outs() uint64 { return h.outs }
