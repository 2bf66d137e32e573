package store

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
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

// Guards against unlocking the folder of an abandoned database while one of its writes may still reach the disk.
func TestAbandonedDatabaseKeepsItsFolderWhileAWriteIsInFlight(t *testing.T) {
	var hangs atomic.Bool
	begun, release := make(chan struct{}, 1), make(chan struct{})
	fs := errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op) error {
		if hangs.Load() && op.Kind == errorfs.OpFileWrite && strings.HasSuffix(op.Path, ".log") {
			begun <- struct{}{}
			<-release
		}
		return nil
	}))
	s, err := Open("data", Options{FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	hangs.Store(true)
	saved := make(chan error, 1)
	go func() { saved <- s.SaveIdentity(Identity{Member: 1}) }()
	<-begun
	go pebbleLogger{s}.Fatalf("a broken invariant")
	if err := <-saved; err == nil || !s.disk.off.Load() {
		t.Errorf("saved: %v, cut off: %v", err, s.disk.off.Load())
	}
	if err := s.Close(); err == nil {
		t.Error("closed with a write in flight")
	}
	if _, err := Open("data", Options{FS: fs}); err == nil {
		t.Error("unlocked with a write in flight")
	}
	close(release)
}
