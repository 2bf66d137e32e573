package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/fault"
)

// Keys. Entries sort by index.
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

// seal puts a checksum over key and payload before the payload. Pebble checks
// its blocks as well; this one also finds a record that came under a wrong key.
func seal(key, payload []byte) []byte {
	out := make([]byte, checksumBytes, checksumBytes+len(payload))
	binary.BigEndian.PutUint64(out, checksum(key, payload))
	return append(out, payload...)
}

// unseal returns the payload, which shares memory with value.
func unseal(key, value []byte) ([]byte, error) {
	if len(value) < checksumBytes {
		return nil, fault.New(fault.Internal, "store: record %q is torn: %d bytes", key, len(value))
	}
	payload := value[checksumBytes:]
	if binary.BigEndian.Uint64(value) != checksum(key, payload) {
		return nil, fault.New(fault.Internal, "store: record %q is corrupt: its checksum does not match", key)
	}
	return payload, nil
}

func checksum(key, payload []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(key)
	_, _ = h.Write(payload)
	return h.Sum64()
}

func sealMessage(key []byte, m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, fault.New(fault.Internal, "store: record %q: %v", key, err)
	}
	return seal(key, payload), nil
}

func unsealMessage(key, value []byte, m proto.Message) error {
	payload, err := unseal(key, value)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return fault.New(fault.Internal, "store: record %q cannot be read: %v", key, err)
	}
	return nil
}
