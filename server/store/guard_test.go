package store

import (
	"errors"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// Guards against a write that is acknowledged because its discarding was not yet recorded as a failure.
func TestFailureIsRecordedBeforeTheCutoff(t *testing.T) {
	var g *guardedFS
	recorded := false
	g, err := newGuardedFS(vfs.NewMem(), "data", func(error) {
		recorded = true
		if g.off.Load() {
			t.Error("cut off before the failure was recorded")
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.change(func() error { return errors.New("no space left on device") }, discard); err != nil {
		t.Errorf("the database was told of the failure: %v", err)
	}
	if !recorded || !g.off.Load() {
		t.Errorf("recorded: %v, cut off: %v, want both", recorded, g.off.Load())
	}
}

// Guards against a folder that stays locked, and callers that never return, after the database stopped in Fatalf.
func TestAbandonedDatabaseUnlocksItsFolder(t *testing.T) {
	fs := vfs.NewMem()
	s, err := Open("data", Options{FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	go pebbleLogger{s}.Fatalf("a broken invariant")
	<-s.Failed()
	<-s.stuck
	if err := s.SaveIdentity(Identity{Member: 1}); err == nil {
		t.Error("an abandoned database accepted a write")
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	again, err := Open("data", Options{FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	if err := again.Close(); err != nil {
		t.Error(err)
	}
}
