package plans

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// customerTextBytes is the approximate length of a customer's entry in TOML.
const customerTextBytes = 64

// Render returns a catalog as TOML that Parse reads: plans sorted by name, then customers sorted by
// id, without comments. Equal catalogs give equal bytes, and rendering the parsed result gives the
// same bytes again. If a plan or customer has several entries, only the first is written, because a
// file has no times.
func Render(c *Catalog) []byte {
	text := make([]byte, 0, len(c.customers)*customerTextBytes+len(c.names)*2*customerTextBytes)
	order := make([]int, len(c.names))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int { return compareNames(c.names[i], c.names[j]) })
	for _, i := range order {
		text = appendPlan(text, &c.versions[i][0])
	}
	for i, customer := range c.customers {
		if plan := c.plan[c.assignments[i]]; plan >= 0 {
			text = appendCustomer(text, customer, c.names[plan])
		}
	}
	return text
}

func appendPlan(text []byte, v *Version) []byte {
	text = append(text, "[[plan]]\nname = "...)
	text = appendString(text, v.Plan)
	text = append(text, '\n')
	text = appendNumber(text, "rate", v.Rate)
	text = appendNumber(text, "burst", v.Burst)
	if v.CeilingRate > 0 {
		text = appendNumber(text, "ceiling_rate", v.CeilingRate)
		text = appendNumber(text, "ceiling_burst", v.CeilingBurst)
	}
	return text
}

func appendCustomer(text []byte, customer uint64, plan string) []byte {
	text = append(text, "[[customer]]\nid = \""...)
	text = append(text, CustomerID(customer)...)
	text = append(text, "\"\nplan = "...)
	text = appendString(text, plan)
	return append(text, '\n')
}

// CustomerID returns a customer's number in the form used in files: 16 hexadecimal digits.
func CustomerID(customer uint64) string {
	const digits = "0123456789abcdef"
	var id [16]byte
	for i := range id {
		id[i] = digits[customer>>(60-4*i)&15]
	}
	return string(id[:])
}

// ParseCustomerID parses an id in the form that CustomerID returns.
func ParseCustomerID(id string) (uint64, error) {
	customer, err := strconv.ParseUint(id, 16, 64)
	if err != nil || len(id) != 16 {
		return 0, fmt.Errorf("id %.40q must be 16 hexadecimal digits", id)
	}
	return customer, nil
}

func appendNumber(text []byte, key string, value float64) []byte {
	text = append(text, key...)
	text = append(text, " = "...)
	if math.IsInf(value, 1) {
		text = append(text, "inf"...)
	} else {
		// + 0 turns a negative zero into zero
		text = strconv.AppendFloat(text, value+0, 'g', -1, 64)
	}
	return append(text, '\n')
}

// appendString appends s as a TOML basic string.
func appendString(text []byte, s string) []byte {
	text = append(text, '"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			text = append(text, '\\', byte(r))
		case r < ' ' || r == 0x7f:
			text = fmt.Appendf(text, "\\u%04X", r)
		default:
			text = append(text, string(r)...)
		}
	}
	return append(text, '"')
}
