// Package protocol holds the state machines for the lines that clients and servers speak. They are fed bytes
// and return events; they know no socket and no clock. The protocol's words end here.
package protocol

import (
	"bytes"
	"errors"
	"sync"
)

// longest is the most bytes that a line may have, its CRLF included.
const longest = 4096

var (
	errLong = errors.New("a line is longer than 4096 bytes")
	errBare = errors.New("a line does not end in CRLF")
)

// buffers hold lines that have come in part. All are of one size.
var buffers = sync.Pool{New: func() any { return new([longest]byte) }}

// lines cuts bytes into lines. It has a buffer of the pool only while a line has come in part.
type lines struct {
	held *[longest]byte
	size int
}

// next takes the first line off b, without its CRLF; whole is false where more bytes are needed. The line
// is good until the next call.
func (l *lines) next(b []byte) (line, rest []byte, whole bool, err error) {
	end := bytes.IndexByte(b, '\n')
	take := end + 1
	if end < 0 {
		take = len(b)
	}
	if l.size+take > longest || end < 0 && l.size+take == longest {
		l.drop()
		return nil, nil, false, errLong
	}
	if l.size == 0 && end >= 0 {
		line, rest = b[:take], b[take:]
	} else {
		if l.held == nil {
			l.held = buffers.Get().(*[longest]byte)
		}
		l.size += copy(l.held[l.size:], b[:take])
		if end < 0 {
			return nil, nil, false, nil
		}
		line, rest = l.held[:l.size], b[take:]
		l.size = 0
	}
	if len(line) < 2 || line[len(line)-2] != '\r' || bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
		return nil, nil, false, errBare
	}
	return line[:len(line)-2], rest, true, nil
}

// part is a copy of what has come of a line that is not whole yet.
func (l *lines) part() []byte {
	if l.held == nil {
		return nil
	}
	return bytes.Clone(l.held[:l.size])
}

// drop gives the buffer back.
func (l *lines) drop() {
	if l.held != nil {
		buffers.Put(l.held)
		l.held = nil
	}
	l.size = 0
}
