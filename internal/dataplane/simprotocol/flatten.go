package simprotocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// flatten turns nested JSON settings into the simulator's paths and values, so
// that both forms are read by one table.
func flatten(raw []byte) (map[string]string, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber() // keeps a number as it is written
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	values := map[string]string{}
	flattenInto(values, "", tree)
	return values, nil
}

func flattenInto(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			flattenInto(values, join(path, key), child)
		}
	case []any:
		var scalars []string
		for i, child := range node {
			switch child.(type) {
			case map[string]any, []any:
				flattenInto(values, join(path, strconv.Itoa(i)), child)
			default:
				scalars = append(scalars, scalar(child))
			}
		}
		if len(scalars) < len(node) || len(node) == 0 {
			values[join(path, "count")] = strconv.Itoa(len(node))
		}
		if len(scalars) == len(node) {
			values[path] = strings.Join(scalars, ",")
		}
	default:
		values[path] = scalar(node)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func scalar(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
