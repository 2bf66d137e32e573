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

// Each write carries the next sequence number. It guards against a damaged
// record in pebble's write-ahead log: pebble takes the first record that fails
// its checksum for the torn end of the log and goes on with an older state, so
// a member would deny votes and entries that it acknowledged, without a word.
//
// Before the folder is opened for writing, its log files are searched for the
// numbers in them. One write is out at a time, so a torn one is the last. A
// number two or more above what pebble recovers shows that synced records lie
// behind the one that failed. A damaged last write cannot be told from a torn
// one: nothing was synced after it.
var sequenceKey = []byte("write-sequence")

const sequenceBytes = 8

func putSequence(b *pebble.Batch, n uint64) error {
	return b.Set(sequenceKey, seal(sequenceKey, binary.BigEndian.AppendUint64(nil, n)), nil)
}

// readSequence returns the newest number that the database recovered; 0 in a new one.
func readSequence(db *pebble.DB) (uint64, error) {
	value, found, err := get(db, sequenceKey)
	if err != nil || !found {
		return 0, err
	}
	payload, err := unseal(sequenceKey, value)
	if err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(payload), nil
}

// verifyLog refuses a folder whose log holds synced records that pebble would
// not read. It changes nothing in the folder, so it refuses the next time too.
func (s *Store) verifyLog(folder string, fs vfs.FS) error {
	logged, err := lastLogged(folder, fs)
	if err != nil || logged == 0 {
		return err
	}
	options := s.options(fs)
	options.ReadOnly = true
	db, err := pebble.Open(folder, options)
	if err != nil {
		return fault.New(fault.Internal, "%v", err)
	}
	defer func() { _ = db.Close() }()
	recovered, err := readSequence(db)
	if err != nil {
		return err
	}
	if logged > recovered+1 {
		return fault.New(fault.Internal, "a record of the log is corrupt: write %d is there, but only writes up to %d can be read", logged, recovered)
	}
	return nil
}

// lastLogged returns the highest sequence number in the log files.
func lastLogged(folder string, fs vfs.FS) (uint64, error) {
	names, err := fs.List(folder)
	if err != nil {
		return 0, fault.New(fault.Internal, "%v", err)
	}
	highest := uint64(0)
	for _, name := range names {
		if !strings.HasSuffix(name, ".log") {
			continue
		}
		data, err := readAll(fs, fs.PathJoin(folder, name))
		if err != nil {
			return 0, fault.New(fault.Internal, "%v", err)
		}
		highest = max(highest, highestSequence(data))
	}
	return highest, nil
}

func readAll(fs vfs.FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(f)
}

// highestSequence finds sequence records by their key, and believes those whose
// checksum holds. A record that pebble split over two blocks is missed.
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
		payload, err := unseal(sequenceKey, data[1:1+valueBytes])
		if err == nil {
			highest = max(highest, binary.BigEndian.Uint64(payload))
		}
	}
}
