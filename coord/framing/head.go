package framing

import (
	"bytes"
	"errors"
	"strings"
)

// ErrStatus is the error of a response whose status is not one of HTTP (RFC 9110, section 15), or is an answer to
// a request for another protocol, which is never made.
var ErrStatus = errors.New("the response's status is not one of HTTP")

// ErrFieldName is the error of a response that has a field whose name is no token (RFC 9110, section 5.6.2). Such a
// field would be ignored, also if it marks the end of the body.
var ErrFieldName = errors.New("the name of a field of the response is not a token")

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
	line, fields, _ := bytes.Cut(head, []byte("\n"))
	status, ok := statusOf(line)
	switch {
	case !ok:
		return false, nil
	case status < minStatus || status > maxStatus || status == statusSwitchProtocols:
		return false, ErrStatus
	}
	return status < minFinalStatus, checkFields(fields)
}

// checkFields checks the lines after the status line.
func checkFields(fields []byte) error {
	for line := range bytes.Lines(fields) {
		if isFolded(line) {
			continue
		}
		name, _, isField := bytes.Cut(line, []byte(":"))
		if isField && !IsFieldName(string(name)) {
			return ErrFieldName
		}
	}
	return nil
}

// isFolded reports whether a line continues the value of the line before (RFC 9112, section 5.2).
func isFolded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// IsFieldName reports whether a name is one of a field: a token (RFC 9110, section 5.6.2).
func IsFieldName(name string) bool {
	return name != "" && strings.IndexFunc(name, isNoTokenRune) < 0
}

func isNoTokenRune(r rune) bool {
	isAlphanumeric := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
	return !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
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
