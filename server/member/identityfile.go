package member

import (
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/cockroachdb/pebble/v2/vfs"

	"cowsliptiller/coord/fault"
)

const (
	identityName  = "member.json"
	temporaryName = "member.json.new"
	// discardedName is the name of the identity file of a member whose data are removed next.
	discardedName = "member.json.discarded"
	folderMode    = 0o700
)

func (s *Supervisor) path(name string) string { return s.fs.PathJoin(s.config.Folder, name) }

func (s *Supervisor) dataFolder() string { return s.path("log") }

// readIdentity returns the stored identity; false if there is none or the file is truncated.
func (s *Supervisor) readIdentity() (identity, bool, error) {
	text, err := s.readFile(identityName)
	if errors.Is(err, os.ErrNotExist) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, fault.New(fault.Internal, "reading the identity file: %v", err)
	}
	var id identity
	if err := json.Unmarshal(text, &id); err != nil || id.Member == 0 {
		return identity{}, false, nil
	}
	return id, true, nil
}

func (s *Supervisor) readFile(name string) ([]byte, error) {
	f, err := s.fs.Open(s.path(name))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(f)
	return text, errors.Join(err, f.Close())
}

// saveIdentity replaces the identity file and returns once it is durable. After a failure the
// former file or the new one is in place, whole.
func (s *Supervisor) saveIdentity(id identity) error {
	text, err := json.Marshal(id)
	if err != nil {
		return fault.New(fault.Internal, "encoding the identity: %v", err)
	}
	if err := s.ensureFolder(); err != nil {
		return err
	}
	if err := s.writeFile(temporaryName, text); err != nil {
		return fault.New(fault.Internal, "writing the identity file: %v", err)
	}
	if err := s.fs.Rename(s.path(temporaryName), s.path(identityName)); err != nil {
		return fault.New(fault.Internal, "renaming the identity file: %v", err)
	}
	return s.syncFolder(s.config.Folder)
}

func (s *Supervisor) writeFile(name string, text []byte) error {
	f, err := s.fs.Create(s.path(name), vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// markDiscarded renames the identity file. The data are removed by newIdentity, after the new
// name is durable: data that are removed in part are never opened under the former identity.
func (s *Supervisor) markDiscarded() error {
	s.durable = 0
	err := s.fs.Rename(s.path(identityName), s.path(discardedName))
	if err != nil {
		return fault.New(fault.Internal, "discarding the identity file: %v", err)
	}
	return nil
}

func (s *Supervisor) isDiscarded() (bool, error) {
	_, err := s.fs.Stat(s.path(discardedName))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fault.New(fault.Internal, "reading the folder of the identity file: %v", err)
	}
	return true, nil
}

// unmarkDiscarded returns once the removal of the mark is durable. A mark that remains could
// lead to the removal of the new member's data.
func (s *Supervisor) unmarkDiscarded() error {
	if err := s.fs.Remove(s.path(discardedName)); err != nil {
		return fault.New(fault.Internal, "removing the discarded identity file: %v", err)
	}
	return s.syncFolder(s.config.Folder)
}

func (s *Supervisor) ensureFolder() error {
	if _, err := s.fs.Stat(s.config.Folder); err == nil && !s.createdFolder {
		return nil
	}
	s.createdFolder = true
	if err := s.fs.MkdirAll(s.config.Folder, folderMode); err != nil {
		return fault.New(fault.Internal, "creating the identity folder: %v", err)
	}
	return s.syncFolder(s.fs.PathDir(s.config.Folder))
}

func (s *Supervisor) syncFolder(path string) error {
	d, err := s.fs.OpenDir(path)
	if err != nil {
		return fault.New(fault.Internal, "opening %s to sync it: %v", path, err)
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return fault.New(fault.Internal, "syncing %s: %v", path, err)
	}
	return nil
}
