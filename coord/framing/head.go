package framing

import (
	"bytes"
	"errors"
)

// ErrStatus is the error of a response whose status is not one of HTTP (RFC 9110, section 15), or is an answer to
// a request for another protocol, which is never made.
var ErrStatus = errors.New("the response's status is not one of HTTP")

// Statuses of responses (RFC 9110, section 15).
const (
	minStatus             = 100
	statusSwitchProtocols = 101
	minFinalStatus        = 200
	maxStatus             = 599
)

// CheckHead checks the head of a response, up to and including its empty line, for what net/http's parser
// accepts although it is no valid head. Heads that the parser rejects are left to it. interim reports that another
// head follows.
func CheckHead(head []byte) (interim bool, err error) {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	status, ok := statusOf(line)
	switch {
	case !ok:
		return false, nil
	case status < minStatus || status > maxStatus || status == statusSwitchProtocols:
		return false, ErrStatus
	}
	return status < minFinalStatus, nil
}

// statusOf returns the status of a status line. It is 0 if it is not a number of three digits. ok is false for a
// line without a status of three bytes.
func statusOf(line []byte) (status int, ok bool) {
	_, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(text) != 3 {
		return 0, false
	}
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, true
		}
		status = 10*status + int(digit-'0')
	}
	return status, true
}
