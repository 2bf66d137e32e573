package store

import (
	"errors"
	"os"

	"github.com/cockroachdb/pebble/v2/vfs"

	"cowsliptiller/coord/fault"
)

const folderMode = 0o700

// ensureFolder creates the folder with mode 0700, or checks the existing one. On a
// private disk the mode of an existing folder is not checked: some file systems do not
// store modes, and the process would reject its own data after a restart.
func ensureFolder(fs vfs.FS, folder string, privateDisk bool) error {
	info, err := fs.Stat(folder)
	switch {
	case err == nil && !info.IsDir():
		return fault.New(fault.InvalidRequest, "data folder %s is no folder", folder)
	case err == nil && fs == vfs.Default && !privateDisk && info.Mode().Perm()&0o077 != 0:
		return fault.New(fault.InvalidRequest, "data folder %s is open to others: mode %o, allowed is 0700", folder, info.Mode().Perm())
	case err == nil:
		return nil
	case !errors.Is(err, os.ErrNotExist):
		return fault.New(fault.InvalidRequest, "data folder: %v", err)
	}
	return createAndSync(fs, folder)
}

// createAndSync creates a folder and its missing parents, and syncs the parent of each.
func createAndSync(fs vfs.FS, folder string) error {
	parent := fs.PathDir(folder)
	if _, err := fs.Stat(parent); errors.Is(err, os.ErrNotExist) && parent != folder {
		if err := createAndSync(fs, parent); err != nil {
			return err
		}
	}
	if err := fs.MkdirAll(folder, folderMode); err != nil {
		return fault.New(fault.InvalidRequest, "data folder: %v", err)
	}
	return syncFolder(fs, parent)
}

func syncFolder(fs vfs.FS, folder string) error {
	dir, err := fs.OpenDir(folder)
	if err != nil {
		return fault.New(fault.InvalidRequest, "opening folder %s to sync it: %v", folder, err)
	}
	defer func() { _ = dir.Close() }()
	if err := dir.Sync(); err != nil {
		return fault.New(fault.Internal, "syncing folder %s: %v", folder, err)
	}
	return nil
}
