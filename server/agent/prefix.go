package agent

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cowsliptiller/server/wire"
)

// prefixOf names the prompt prefix of a request to an engine, "" for none.
//
// Load pattern: calls that share a long instruction text, mixed with calls that
// do not, on an engine whose prefix cache holds few of them. With all requests
// equal the text leaves the cache between two calls that use it. The model and
// the adapter are part of the name: what they computed is of no use to another.
//
// A fingerprint that two texts share costs one wrong place in the order of one
// workspace, at most as far as target.Queue lets a cached prefix go first.
func prefixOf(r *wire.Request, body []byte) string {
	if r.Model == "" || len(body) < wire.PrefixHashBytes {
		return ""
	}
	h := xxhash.New()
	_, _ = h.WriteString(strconv.Quote(r.Model) + strconv.Quote(r.Adapter))
	_, _ = h.Write(body[:wire.PrefixHashBytes])
	return strconv.FormatUint(h.Sum64(), 16)
}
