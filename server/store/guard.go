package store

import (
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// guardedFS is the file system between the database and the disk. The first change that
// the disk refuses cuts the database off: from then on no change reaches the disk, and
// changes report success, new files in memory. Pebble treats a failed write of its log
// or manifest as fatal and cannot be closed afterwards; a database that is cut off can
// be, and another one can open the folder in the same process. No caller may rely on a
// change before it has checked that the database is not cut off.
//
// The folder's lock is held by the Store: Lock does nothing.
type guardedFS struct {
	vfs.FS
	// onFailure records a failure. It is called before the cutoff, so that a caller whose
	// change was discarded finds the failure recorded.
	onFailure func(error)
	// inFlight is held for reading during each change on the disk.
	inFlight sync.RWMutex
	off      atomic.Bool
	memory   *vfs.MemFS // holds the files created since the cutoff
}

func newGuardedFS(fs vfs.FS, folder string, onFailure func(error)) (*guardedFS, error) {
	g := &guardedFS{FS: fs, onFailure: onFailure, memory: vfs.NewMem()}
	return g, g.memory.MkdirAll(folder, folderMode)
}

// cutOff keeps all later changes from the disk. Changes in flight may still reach it.
func (g *guardedFS) cutOff() { g.off.Store(true) }

func (g *guardedFS) fail(err error) {
	g.onFailure(err)
	g.cutOff()
}

// awaitInFlight returns once no change is in flight. Call it after cutOff.
func (g *guardedFS) awaitInFlight() {
	g.inFlight.Lock()
	defer g.inFlight.Unlock()
}

// change runs disk, or memory if the database is cut off. A failure of disk cuts the
// database off, and memory takes the place of the failed change. A missing file is
// the caller's matter and no failure.
func (g *guardedFS) change(disk, memory func() error) error {
	done, err := g.onDisk(disk)
	if done {
		return err
	}
	return memory()
}

// onDisk runs the change unless the database is cut off. It returns false if the change
// was not made.
func (g *guardedFS) onDisk(change func() error) (done bool, err error) {
	g.inFlight.RLock()
	defer g.inFlight.RUnlock()
	if g.off.Load() {
		return false, nil
	}
	err = change()
	if err == nil || errors.Is(err, os.ErrNotExist) || errors.Is(err, errors.ErrUnsupported) {
		return true, err
	}
	g.fail(err)
	return false, nil
}

// discard is the replacement of a change that nothing reads back.
func discard() error { return nil }

// Unwrap implements vfs.FS.
func (g *guardedFS) Unwrap() vfs.FS { return g.FS }

// Lock implements vfs.FS.
func (g *guardedFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// Create implements vfs.FS.
func (g *guardedFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return g.create(name, func(fs vfs.FS) (vfs.File, error) { return fs.Create(name, category) })
}

// OpenReadWrite implements vfs.FS.
func (g *guardedFS) OpenReadWrite(name string, category vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	return g.create(name, func(fs vfs.FS) (vfs.File, error) { return fs.OpenReadWrite(name, category, opts...) })
}

// ReuseForWrite implements vfs.FS. In memory there is no file to reuse.
func (g *guardedFS) ReuseForWrite(oldName, newName string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return g.create(newName, func(fs vfs.FS) (vfs.File, error) {
		if fs == g.memory {
			return fs.Create(newName, category)
		}
		return fs.ReuseForWrite(oldName, newName, category)
	})
}

func (g *guardedFS) create(name string, open func(vfs.FS) (vfs.File, error)) (f vfs.File, err error) {
	err = g.change(func() (err error) {
		f, err = open(g.FS)
		if err == nil {
			f = &guardedFile{File: f, guard: g, table: strings.HasSuffix(name, ".sst")}
		}
		return err
	}, func() (err error) {
		f, err = open(g.memory)
		return err
	})
	return f, err
}

// OpenDir implements vfs.FS.
func (g *guardedFS) OpenDir(name string) (vfs.File, error) {
	f, err := g.FS.OpenDir(name)
	if err != nil {
		return nil, err
	}
	return &guardedFile{File: f, guard: g}, nil
}

// Open implements vfs.FS.
func (g *guardedFS) Open(name string, opts ...vfs.OpenOption) (vfs.File, error) {
	if g.off.Load() {
		if f, err := g.memory.Open(name, opts...); err == nil {
			return f, nil
		}
	}
	return g.FS.Open(name, opts...)
}

// Stat implements vfs.FS.
func (g *guardedFS) Stat(name string) (vfs.FileInfo, error) {
	if g.off.Load() {
		if info, err := g.memory.Stat(name); err == nil {
			return info, nil
		}
	}
	return g.FS.Stat(name)
}

// Remove implements vfs.FS.
func (g *guardedFS) Remove(name string) error {
	return g.change(func() error { return g.FS.Remove(name) }, discard)
}

// RemoveAll implements vfs.FS.
func (g *guardedFS) RemoveAll(name string) error {
	return g.change(func() error { return g.FS.RemoveAll(name) }, discard)
}

// Rename implements vfs.FS.
func (g *guardedFS) Rename(oldName, newName string) error {
	return g.change(func() error { return g.FS.Rename(oldName, newName) }, func() error {
		if err := g.memory.Rename(oldName, newName); !errors.Is(err, os.ErrNotExist) {
			return err
		}
		return nil // the file is on the disk, where its name no longer matters
	})
}

// Link implements vfs.FS.
func (g *guardedFS) Link(oldName, newName string) error {
	return g.change(func() error { return g.FS.Link(oldName, newName) }, discard)
}

// MkdirAll implements vfs.FS.
func (g *guardedFS) MkdirAll(dir string, perm os.FileMode) error {
	return g.change(func() error { return g.FS.MkdirAll(dir, perm) }, func() error { return g.memory.MkdirAll(dir, perm) })
}

// guardedFile is a file, or the folder, on the disk.
type guardedFile struct {
	vfs.File
	guard *guardedFS
	// table marks a file that the database reads back. Its failed write is reported:
	// pebble discards the file and writes another one, which is then in memory.
	table bool
}

var errCutOff = errors.New("the disk failed before")

func (f *guardedFile) change(disk func() error) error {
	if !f.table {
		return f.guard.change(disk, discard)
	}
	return f.guard.change(disk, func() error { return errCutOff })
}

// Write implements vfs.File.
func (f *guardedFile) Write(p []byte) (n int, err error) {
	n = len(p)
	err = f.change(func() (err error) {
		_, err = f.File.Write(p)
		return err
	})
	if err != nil {
		n = 0
	}
	return n, err
}

// WriteAt implements vfs.File.
func (f *guardedFile) WriteAt(p []byte, offset int64) (n int, err error) {
	n = len(p)
	err = f.change(func() (err error) {
		_, err = f.File.WriteAt(p, offset)
		return err
	})
	if err != nil {
		n = 0
	}
	return n, err
}

// Preallocate implements vfs.File. Its failure is none of the database: the write that
// needs the space reports it.
func (f *guardedFile) Preallocate(offset, length int64) error {
	f.guard.inFlight.RLock()
	defer f.guard.inFlight.RUnlock()
	if f.guard.off.Load() {
		return nil
	}
	return f.File.Preallocate(offset, length)
}

// Sync implements vfs.File.
func (f *guardedFile) Sync() error { return f.change(f.File.Sync) }

// SyncData implements vfs.File.
func (f *guardedFile) SyncData() error { return f.change(f.File.SyncData) }

// SyncTo implements vfs.File.
func (f *guardedFile) SyncTo(length int64) (full bool, err error) {
	err = f.change(func() (err error) {
		full, err = f.File.SyncTo(length)
		return err
	})
	return full, err
}

// Close implements vfs.File.
func (f *guardedFile) Close() error {
	if err := f.File.Close(); err != nil {
		f.guard.fail(err)
	}
	return nil
}
