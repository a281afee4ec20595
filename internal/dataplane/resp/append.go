package resp

import "strconv"

// AppendArray appends the header of an array of n values to b.
func AppendArray(b []byte, n int) []byte { return appendHead(b, '*', n) }

// AppendBulk appends value to b as a bulk string.
func AppendBulk(b, value []byte) []byte {
	b = append(appendHead(b, '$', len(value)), value...)
	return append(b, '\r', '\n')
}

func appendHead(b []byte, kind byte, n int) []byte {
	b = strconv.AppendInt(append(b, kind), int64(n), 10)
	return append(b, '\r', '\n')
}
