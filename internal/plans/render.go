package plans

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// customerTextBytes is the approximate length of one customer's text.
const customerTextBytes = 64

// Render writes a catalog as TOML that Parse reads: plans by name, then customers by id, without
// comments. Equal catalogs give equal bytes, and rendering the parsed result gives the same bytes
// again. Of a plan or customer with several entries only the first is written, as a file has no
// times.
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

// CustomerID writes a customer's number as files have it: 16 hexadecimal digits.
func CustomerID(customer uint64) string {
	const digits = "0123456789abcdef"
	var id [16]byte
	for i := range id {
		id[i] = digits[customer>>(60-4*i)&15]
	}
	return string(id[:])
}

// ParseCustomerID reads what CustomerID writes.
func ParseCustomerID(id string) (uint64, error) {
	customer, err := strconv.ParseUint(id, 16, 64)
	if err != nil || len(id) != 16 {
		return 0, fmt.Errorf("id %.40q, 16 hexadecimal digits wanted", id)
	}
	return customer, nil
}

func appendNumber(text []byte, key string, value float64) []byte {
	text = append(text, key...)
	text = append(text, " = "...)
	if math.IsInf(value, 1) {
		text = append(text, "inf"...)
	} else {
		// + 0: a negative zero is written as zero
		text = strconv.AppendFloat(text, value+0, 'g', -1, 64)
	}
	return append(text, '\n')
}

// appendString writes a TOML basic string.
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
