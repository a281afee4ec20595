package storetest

import (
	"context"
	"os"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv("STORETRIAL_WRITE"); dir != "" {
		err := Write(os.Args[len(os.Args)-1], os.Stdout)
		os.Stderr.WriteString(err.Error())
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func TestCrashAfterEveryOperation(t *testing.T) {
	t.Parallel()
	tally, err := Crashes(t.Context(), 1, 24, 3)
	if err != nil || tally.Bad() > 0 || tally.Opened < 1000 {
		t.Errorf("%+v, %v", tally, err)
	}
}

func TestEveryCutAndEveryFlip(t *testing.T) {
	t.Parallel()
	tally, err := Damage(t.Context(), 7, 40)
	if err != nil || tally.Bad() > 0 || tally.Opened == 0 || tally.Refused == 0 {
		t.Errorf("%+v, %v", tally, err)
	}
}

func TestKilledWhileItWrites(t *testing.T) {
	t.Setenv("STORETRIAL_WRITE", "1")
	tally, err := Kills(context.Background(), 3, t.TempDir(), 3*time.Second, os.Args[0])
	if err != nil || tally.Bad() > 0 || tally.Acknowledged == 0 || tally.Opened == 0 {
		t.Errorf("%+v, %v", tally, err)
	}
}
