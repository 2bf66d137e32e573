package store

import (
	"errors"
	"os"

	"github.com/cockroachdb/pebble/v2/vfs"

	"cowsliptiller/coord/fault"
)

// Remove removes a data folder and returns once the removal is durable. A folder that does
// not exist is removed already. A nil fs is the operating system's. Errors: fault.Conflict
// for a folder that a Store has open or whose disk does not answer, and fault.Internal,
// after which a part of the folder may remain.
func Remove(fs vfs.FS, folder string) error {
	if fs == nil {
		fs = vfs.Default
	}
	_, err := fs.Stat(folder)
	if err == nil {
		err = removeLocked(fs, folder)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return syncFolder(fs, fs.PathDir(folder))
}

// removeLocked holds the lock meanwhile, so that a change by a Store that was closed while the
// disk did not answer cannot reach a folder of the same name that is created afterwards.
func removeLocked(fs vfs.FS, folder string) error {
	lock, err := fs.Lock(fs.PathJoin(folder, lockName))
	if err != nil {
		return fault.New(fault.Conflict, "data folder %s is in use, or cannot be locked: %v", folder, err)
	}
	defer func() { _ = lock.Close() }()
	if err := fs.RemoveAll(folder); err != nil {
		return fault.New(fault.Internal, "removing data folder %s: %v", folder, err)
	}
	return nil
}
