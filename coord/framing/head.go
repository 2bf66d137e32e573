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

// ErrStatusLine is the error of a response of another major version than HTTP/1, or with a control character in its
// reason phrase (RFC 9112, section 4).
var ErrStatusLine = errors.New("the response's status line is not one of HTTP/1")

// ErrFraming is the error of a response whose sender may have meant another end of its body than its reader finds
// (RFC 9112, sections 5.2, 6.1 and 6.3): with an encoding beside a length or in HTTP/1.0, or with one of the two in a
// continued line.
var ErrFraming = errors.New("the response's fields contradict each other about the end of its body")

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
	text, fields, _ := bytes.Cut(head, []byte("\n"))
	text = bytes.TrimSuffix(text, []byte("\r"))
	line, ok := parseStatusLine(text)
	switch {
	case !ok:
		return false, nil
	case line.status < minStatus || line.status > maxStatus || line.status == statusSwitchProtocols:
		return false, ErrStatus
	case line.major != 1 || bytes.ContainsFunc(text, isControl):
		return false, ErrStatusLine
	}
	return line.status < minFinalStatus, checkFields(fields, line.minor)
}

// statusLine is the status line of a response.
type statusLine struct {
	major, minor int // version
	status       int // 0 if it is not a number of three digits
}

// parseStatusLine parses a status line. ok is false for one that net/http's parser rejects.
func parseStatusLine(text []byte) (line statusLine, ok bool) {
	version, rest, _ := bytes.Cut(text, []byte(" "))
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	digits, isHTTP := bytes.CutPrefix(version, []byte("HTTP/"))
	if !isHTTP || len(digits) != 3 || digits[1] != '.' || len(status) != 3 {
		return statusLine{}, false
	}
	return statusLine{major: number(digits[:1]), minor: number(digits[2:]), status: number(status)}, true
}

// number returns the value of decimal digits, and 0 for anything else.
func number(digits []byte) (n int) {
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0
		}
		n = 10*n + int(digit-'0')
	}
	return n
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// checkFields checks the lines after the status line of a response of HTTP/1 and a minor version. A later one than 1 is
// as 1 (RFC 9110, section 2.5).
func checkFields(fields []byte, minor int) error {
	length, encoding := false, false
	for line := range bytes.Lines(fields) {
		name, _, isField := bytes.Cut(line, []byte(":"))
		isLength, isEncoding := isName(name, "content-length"), isName(name, "transfer-encoding")
		switch {
		case isFolded(line) && (isLength || isEncoding):
			return ErrFraming
		case isFolded(line) || !isField:
			continue
		case !IsFieldName(string(name)):
			return ErrFieldName
		}
		length, encoding = length || isLength, encoding || isEncoding
	}
	if encoding && (length || minor == 0) {
		return ErrFraming
	}
	return nil
}

// isName reports whether a text is a name, in any case and with white space around it.
func isName(text []byte, name string) bool {
	return bytes.EqualFold(bytes.TrimSpace(text), []byte(name))
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
