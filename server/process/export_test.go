package process

import "net/http"

// SigningTransport returns the transport of Client over another one.
func SigningTransport(s *Secret, next http.RoundTripper) http.RoundTripper {
	return signingTransport{secret: s, next: next}
}
