// Package disktest makes the disk fail in tests of what is stored on it.
package disktest

import (
	"errors"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
)

// ErrFull is the error of a change that a full disk refuses.
var ErrFull = errors.New("no space left on device")

// IsChange reports whether an operation changes the disk.
func IsChange(op errorfs.Op) bool {
	switch op.Kind {
	case errorfs.OpCreate, errorfs.OpLink, errorfs.OpRemove, errorfs.OpRemoveAll, errorfs.OpRename,
		errorfs.OpReuseForWrite, errorfs.OpMkdirAll, errorfs.OpFileWrite, errorfs.OpFileWriteAt, errorfs.OpFilePreallocate,
		errorfs.OpFileSync, errorfs.OpFileSyncData, errorfs.OpFileSyncTo:
		return true
	}
	return false
}

type failingFS struct{ *errorfs.FS }

// Wrap returns a file system whose operations fail as the injector decides.
func Wrap(fs vfs.FS, injector errorfs.Injector) vfs.FS {
	return failingFS{errorfs.Wrap(fs, injector)}
}

// ReuseForWrite implements vfs.FS. That of errorfs returns a file whose writes never fail.
func (f failingFS) ReuseForWrite(oldName, newName string, category vfs.DiskWriteCategory) (vfs.File, error) {
	if err := f.Rename(oldName, newName); err != nil {
		return nil, err
	}
	return f.OpenReadWrite(newName, category)
}
