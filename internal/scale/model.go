package scale

// FitAll fits the slopes of all ladders that were played.
func (c *Capacity) FitAll() (all []Slope, err error) { return nil, nil }
