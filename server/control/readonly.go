package control

import (
	"net/http"

	"cowsliptiller/coord/fault"
)

// wherePath is the path of the method where, the only POST that changes nothing.
const wherePath = "/operator/v1/where"

// OperatorToken reads the operators' token from a file that only its owner may read. Errors:
// fault.InvalidRequest.
func OperatorToken(path string) (string, error) { return readToken(path) }

// Refuse answers a request of an operator with an error.
func Refuse(w http.ResponseWriter, err error) { refuse(w, err) }

// ReadOnlyHandler returns the methods of the operators' API that change nothing, with the check of a
// token. On the platform, changes come from the platform.
func (c *Role) ReadOnlyHandler(token string) http.Handler {
	all := c.operatorHandler(token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.URL.Path != wherePath {
			refuse(w, fault.New(fault.InvalidRequest, "%s %s: on the platform this API only reads", r.Method, r.URL.Path))
			return
		}
		all.ServeHTTP(w, r)
	})
}
