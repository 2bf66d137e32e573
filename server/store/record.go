package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/fault"
)

// Record keys. Entry keys are the prefix and the index in big-endian order, so that
// entries sort by index.
var (
	identityKey  = []byte("identity")
	hardStateKey = []byte("hard-state")
	snapshotKey  = []byte("snapshot")
	entryPrefix  = byte('e' | 0x80)
)

const (
	checksumBytes = 8
	entryKeyBytes = 9
)

func entryKey(index uint64) []byte {
	k := make([]byte, entryKeyBytes)
	k[0] = entryPrefix
	binary.BigEndian.PutUint64(k[1:], index)
	return k
}

func entryIndex(key []byte) uint64 { return binary.BigEndian.Uint64(key[1:]) }

// encodeRecord prefixes the payload with a checksum over key and payload. Pebble
// checks its blocks as well; this one also detects a record under a wrong key.
func encodeRecord(key, payload []byte) []byte {
	out := make([]byte, checksumBytes, checksumBytes+len(payload))
	binary.BigEndian.PutUint64(out, checksum(key, payload))
	return append(out, payload...)
}

// decodeRecord verifies the checksum and returns the payload, which shares memory with
// value.
func decodeRecord(key, value []byte) ([]byte, error) {
	if len(value) < checksumBytes {
		return nil, fault.New(fault.Internal, "store: record %q is truncated: %d bytes", key, len(value))
	}
	payload := value[checksumBytes:]
	if binary.BigEndian.Uint64(value) != checksum(key, payload) {
		return nil, fault.New(fault.Internal, "store: record %q is corrupt: checksum mismatch", key)
	}
	return payload, nil
}

func checksum(key, payload []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(key)
	_, _ = h.Write(payload)
	return h.Sum64()
}

func marshalRecord(key []byte, m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, fault.New(fault.Internal, "store: encoding record %q: %v", key, err)
	}
	return encodeRecord(key, payload), nil
}

func unmarshalRecord(key, value []byte, m proto.Message) error {
	payload, err := decodeRecord(key, value)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return fault.New(fault.Internal, "store: decoding record %q: %v", key, err)
	}
	return nil
}
