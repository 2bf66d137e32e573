// Package pack shortens large documents for the way between processes and for the log.
package pack

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/fault"
)

// Above is the length in bytes from which packing pays: below it a document fits into a
// few packets.
const Above = 4 << 10

// Fast packs with little processor time, for hosts with a small share of a core.
func Fast(data []byte) []byte { return packed(data, gzip.BestSpeed) }

// Small packs to fewer bytes, for what is sent to every follower.
func Small(data []byte) []byte { return packed(data, gzip.DefaultCompression) }

func packed(data []byte, level int) []byte {
	var b bytes.Buffer
	// The level is valid, and writing into a buffer in memory does not fail.
	w, _ := gzip.NewWriterLevel(&b, level)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// Unmarshal reads a packed message. Errors: those of Unpack.
func Unmarshal(data []byte, limit int64, m proto.Message) error {
	data, err := Unpack(data, limit)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return fault.New(fault.Internal, "packed message: %v", err)
	}
	return nil
}

// Unpack returns the document. Errors: fault.Internal, fault.TooLarge where it has more
// than limit bytes, which is found before they take memory.
func Unpack(data []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fault.New(fault.Internal, "packed document: %v", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fault.New(fault.Internal, "packed document: %v", err)
	}
	if int64(len(out)) > limit {
		return nil, fault.New(fault.TooLarge, "packed document: longer than %d bytes", limit)
	}
	return out, nil
}
