package state

import (
	"bytes"
	"crypto/sha256"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// backupHead begins a backup. It is followed by the SHA-256 of the snapshot and
// the snapshot: a file that was cut short on its way could otherwise decode as a
// smaller state, and the rest would be gone without a word.
const backupHead = "cowsliptiller-backup-1\n"

// Backup returns a snapshot in the form that FromBackup reads.
func Backup(snapshot []byte) []byte {
	sum := sha256.Sum256(snapshot)
	out := append([]byte(backupHead), sum[:]...)
	return append(out, snapshot...)
}

// BackupGap is added to every counter when a group is started anew from a backup.
// What was committed after the backup is lost, and its numbers may be in use out
// there: followers ignore a lower revision, agents obey the highest fencing
// number. A million is far above what is committed between two backups.
const BackupGap = 1 << 20

// FromBackup turns a backup into the first snapshot of a new group: all counters
// jump, and holders of any earlier view get a whole one. Equal backups give equal
// snapshots. Errors: fault.InvalidRequest for a damaged or unknown backup.
func FromBackup(backup []byte) ([]byte, error) {
	data, err := unpack(backup)
	if err != nil {
		return nil, err
	}
	s := New()
	if err := s.Restore(data); err != nil {
		return nil, err
	}
	s.jump()
	return s.Snapshot()
}

func unpack(backup []byte) ([]byte, error) {
	rest, ok := bytes.CutPrefix(backup, []byte(backupHead))
	if !ok || len(rest) < sha256.Size {
		return nil, fault.New(fault.InvalidRequest, "not a backup of the control state")
	}
	sum := sha256.Sum256(rest[sha256.Size:])
	if !bytes.Equal(sum[:], rest[:sha256.Size]) {
		return nil, fault.New(fault.InvalidRequest, "the backup is damaged: its checksum does not match")
	}
	return rest[sha256.Size:], nil
}

// jump moves every counter past what the lost history can have used.
func (s *State) jump() {
	before := s.revision
	s.revision += BackupGap
	s.replicas.nextFencing += BackupGap
	s.audit.next += BackupGap
	s.tombstones = tombstones{floor: s.revision}
	if c := &s.configuration; c.revision > 0 {
		c.revision += BackupGap
		c.stateRevision = s.revision
		c.derived.Revision = c.revision
	}
	for _, id := range sorted(s.leases.rows) {
		row := edit(s.leases.rows[id])
		row.Epoch += BackupGap
		s.leases.rows[id] = row
	}
	s.audit.write(&coordpb.AuditRecord{
		UnixMs: s.now, Actor: "control", Action: "restore_backup",
		FromRevision: before, ToRevision: s.revision, Outcome: outcomeOK,
	})
}
