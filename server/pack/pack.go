// Package pack compresses large documents with gzip, for calls between processes and for
// the replicated log.
package pack

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/fault"
)

// MinSize is the size in bytes from which compression pays. A smaller document fits into a
// few packets.
const MinSize = 4 << 10

// CompressFast compresses with little CPU time, for hosts with a small share of a core.
func CompressFast(data []byte) []byte { return compress(data, gzip.BestSpeed) }

// Small compresses to fewer bytes than CompressFast, for data that is sent to every follower.
func Small(data []byte) []byte { return compress(data, gzip.DefaultCompression) }

func compress(data []byte, level int) []byte {
	var b bytes.Buffer
	// The level is valid, and writes to a bytes.Buffer do not fail.
	w, _ := gzip.NewWriterLevel(&b, level)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// Unmarshal decompresses and decodes a message. Errors: those of Decompress, and
// fault.Internal for a malformed message.
func Unmarshal(data []byte, limit int64, m proto.Message) error {
	data, err := Decompress(data, limit)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fault.New(fault.Internal, "decode compressed message: %v", err)
	}
	return nil
}

// Decompress decompresses a document. Errors: fault.Internal for malformed data, and
// fault.TooLarge for a document of more than limit bytes. Not more than limit+1 bytes
// are decompressed.
func Decompress(data []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fault.New(fault.Internal, "decompress document: %v", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fault.New(fault.Internal, "decompress document: %v", err)
	}
	if int64(len(out)) > limit {
		return nil, fault.New(fault.TooLarge, "decompressed document is larger than the limit of %d bytes", limit)
	}
	return out, nil
}
