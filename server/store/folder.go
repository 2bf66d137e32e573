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
	case errors.Is(err, os.ErrNotExist):
		if err := fs.MkdirAll(folder, folderMode); err != nil {
			return fault.New(fault.InvalidRequest, "data folder: %v", err)
		}
	case err != nil:
		return fault.New(fault.InvalidRequest, "data folder: %v", err)
	}
	return syncAncestors(fs, folder)
}

// syncAncestors syncs each folder above the given one. An existing folder may have been created
// by an attempt that ended before its name was durable.
func syncAncestors(fs vfs.FS, folder string) error {
	for parent := fs.PathDir(folder); parent != folder; folder, parent = parent, fs.PathDir(parent) {
		err := syncFolder(fs, parent)
		if errors.Is(err, os.ErrPermission) {
			return nil // it and those above are not of this process's making
		}
		if err != nil && !errors.Is(err, errors.ErrUnsupported) {
			return fault.New(fault.Internal, "syncing %s, above the data folder: %v", parent, err)
		}
	}
	return nil
}

func syncFolder(fs vfs.FS, name string) error {
	dir, err := fs.OpenDir(name)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
