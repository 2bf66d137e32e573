package store

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"cowsliptiller/coord/fault"
)

// Each write carries the next sequence number, to detect a corrupt record in
// pebble's write-ahead log: pebble treats the first record that fails its checksum
// as the torn tail of the log and opens with an older state, so a member would
// silently lose votes and entries that it acknowledged.
//
// Before the folder is opened for writing, its log files are scanned for sequence
// numbers. Only one write is in flight at a time, so a torn write is the last one.
// A number two or more above the recovered one shows that synced records follow the
// one that failed its checksum. A corrupt last write cannot be distinguished from a
// torn one: nothing was synced after it.
var sequenceKey = []byte("write-sequence")

const sequenceBytes = 8

func putSequence(b *pebble.Batch, n uint64) error {
	return b.Set(sequenceKey, encodeRecord(sequenceKey, binary.BigEndian.AppendUint64(nil, n)), nil)
}

// readSequence returns the latest sequence number that pebble recovered; 0 in a new
// database.
func readSequence(db *pebble.DB) (uint64, error) {
	value, found, err := getRecord(db, sequenceKey)
	if err != nil || !found {
		return 0, err
	}
	payload, err := decodeRecord(sequenceKey, value)
	if err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(payload), nil
}

// verifyWAL returns an error if the write-ahead log contains synced records that
// pebble would not recover. It opens the folder read-only, so the next start fails too.
func (s *Store) verifyWAL() error {
	logged, err := highestInWAL(s.folder, s.disk)
	if err != nil || logged == 0 {
		return err
	}
	options := s.options()
	options.ReadOnly = true
	db, err := pebble.Open(s.folder, options)
	if err != nil {
		return fault.New(fault.Internal, "%v", err)
	}
	defer func() { _ = db.Close() }()
	recovered, err := readSequence(db)
	if err != nil {
		return err
	}
	if logged > recovered+1 {
		return fault.New(fault.Internal, "the write-ahead log is corrupt: it contains write %d, but only writes up to %d can be recovered", logged, recovered)
	}
	return nil
}

// highestInWAL returns the highest sequence number in the write-ahead log files.
func highestInWAL(folder string, fs vfs.FS) (uint64, error) {
	names, err := fs.List(folder)
	if err != nil {
		return 0, fault.New(fault.Internal, "%v", err)
	}
	highest := uint64(0)
	for _, name := range names {
		if !strings.HasSuffix(name, ".log") {
			continue
		}
		data, err := readFile(fs, fs.PathJoin(folder, name))
		if err != nil {
			return 0, fault.New(fault.Internal, "%v", err)
		}
		highest = max(highest, highestSequence(data))
	}
	return highest, nil
}

func readFile(fs vfs.FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(f)
}

// highestSequence returns the highest sequence number in data. It finds the records by
// their key and ignores those with a wrong checksum. A record that pebble split over
// two blocks is missed.
func highestSequence(data []byte) uint64 {
	highest := uint64(0)
	for {
		at := bytes.Index(data, sequenceKey)
		if at < 0 {
			return highest
		}
		data = data[at+len(sequenceKey):]
		const valueBytes = checksumBytes + sequenceBytes
		if len(data) < 1+valueBytes || data[0] != valueBytes {
			continue
		}
		payload, err := decodeRecord(sequenceKey, data[1:1+valueBytes])
		if err == nil {
			highest = max(highest, binary.BigEndian.Uint64(payload))
		}
	}
}
