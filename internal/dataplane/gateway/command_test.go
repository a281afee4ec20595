package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
)

func BenchmarkParse(b *testing.B) {
	cfg, err := ParseConfig([]byte(fmt.Sprintf(
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01","settings":%s}`,
		json.RawMessage(settingsText),
	)))
	if err != nil {
		b.Fatal(err)
	}
	args := [][]byte{[]byte("API.WRITE"), []byte("0000000000000007"), []byte("9b1f03aa5c7e2d41"),
		[]byte("c=order,t=team,d=480,k=5c0f6e1a2b3d4c59,units=2,spread=3,first=1"), []byte("BODY")}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := cfg.parseCommand(args); err != nil {
			b.Fatal(err)
		}
	}
}
