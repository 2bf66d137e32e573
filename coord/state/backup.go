package state

import (
	"bytes"
	"crypto/sha256"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// backupHeader starts a backup file. It is followed by the SHA-256 of the snapshot
// and the snapshot itself. Without the checksum a truncated file could decode as a
// smaller state, and the loss would go unnoticed.
const backupHeader = "cowsliptiller-backup-1\n"

// EncodeBackup encodes a snapshot in the backup format that SnapshotFromBackup reads.
func EncodeBackup(snapshot []byte) []byte {
	sum := sha256.Sum256(snapshot)
	out := append([]byte(backupHeader), sum[:]...)
	return append(out, snapshot...)
}

// BackupGap is added to every counter when a new group is started from a backup.
// Commands committed after the backup are lost, but followers and agents may still
// hold their numbers: followers ignore lower revisions, and agents reject lower
// fencing numbers. A million is far more than is committed between two backups.
const BackupGap = 1 << 20

// SnapshotFromBackup converts a backup into the first snapshot of a new group. All counters
// are increased by BackupGap, and followers of any earlier view receive a full view.
// Equal backups give equal snapshots.
//
// Errors: fault.InvalidRequest for a corrupt backup or an unknown format.
func SnapshotFromBackup(backup []byte) ([]byte, error) {
	data, err := decodeBackup(backup)
	if err != nil {
		return nil, err
	}
	s := New()
	if err := s.Restore(data); err != nil {
		return nil, err
	}
	s.advanceCounters()
	return s.Snapshot()
}

// decodeBackup verifies the header and the checksum and returns the snapshot.
func decodeBackup(backup []byte) ([]byte, error) {
	rest, ok := bytes.CutPrefix(backup, []byte(backupHeader))
	if !ok || len(rest) < sha256.Size {
		return nil, fault.New(fault.InvalidRequest, "not a backup of the control state: unknown header or file too short")
	}
	sum := sha256.Sum256(rest[sha256.Size:])
	if !bytes.Equal(sum[:], rest[:sha256.Size]) {
		return nil, fault.New(fault.InvalidRequest, "backup of the control state is corrupt: its SHA-256 checksum does not match")
	}
	return rest[sha256.Size:], nil
}

// advanceCounters raises every counter above the values that the lost commands can
// have used.
func (s *State) advanceCounters() {
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
	for _, id := range sortedIDs(s.leases.rows) {
		row := cloneRow(s.leases.rows[id])
		row.Epoch += BackupGap
		s.leases.rows[id] = row
	}
	s.audit.write(&coordpb.AuditRecord{
		UnixMs: s.now, Actor: "control", Action: "restore_backup",
		FromRevision: before, ToRevision: s.revision, Outcome: outcomeOK,
	})
}
