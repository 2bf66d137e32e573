package pack_test

import (
	"bytes"
	"testing"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/pack"
)

func TestADocumentComesOutAsItWas(t *testing.T) {
	text := bytes.Repeat([]byte("a route like the others\n"), 10_000)
	for _, compressed := range [][]byte{pack.CompressFast(text), pack.Small(text)} {
		if len(compressed) > len(text)/20 {
			t.Errorf("compressed size is %d bytes of %d, want at most a twentieth", len(compressed), len(text))
		}
		got, err := pack.Decompress(compressed, int64(len(text)))
		if err != nil || !bytes.Equal(got, text) {
			t.Errorf("decompressed %d bytes that differ from the input, error %v", len(got), err)
		}
	}
}

// Guards against a small message that exhausts memory when it is decompressed.
func TestADocumentLongerThanItMayBeIsRefused(t *testing.T) {
	if _, err := pack.Decompress(pack.CompressFast(make([]byte, 1001)), 1000); !fault.Is(err, fault.TooLarge) {
		t.Errorf("too large document: got %v", err)
	}
	if _, err := pack.Decompress([]byte("no such thing"), 1000); !fault.Is(err, fault.Internal) {
		t.Errorf("malformed document: got %v", err)
	}
	complete := pack.CompressFast(make([]byte, 1000))
	if _, err := pack.Decompress(complete[:len(complete)-4], 1000); !fault.Is(err, fault.Internal) {
		t.Errorf("truncated document: got %v", err)
	}
}
