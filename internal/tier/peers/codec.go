package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// messageMost bounds a decoded message in bytes.
const messageMost = 256 << 10

// dictionary holds text that most messages have, so that short ones shrink too; all VMs must have the same.
const dictionary = `,"y":[{"d":{"vm":"","ip":"10.","d":"","r":"","b":1,"n":1,"p":1,"c":0.4,"l":0.0,"u":true,"v":1,"w":true},"m":` +
	`"k":["10.","a":true},"t":{"":{"o":1,"a":1,"l":{"f":{"vm":"","ip":"10.`

// Codec turns messages into datagrams and back; use NewCodec. It may be used from several goroutines.
type Codec struct {
	mu sync.Mutex
	w  *flate.Writer
	b  bytes.Buffer

	// readMu guards the reader and the text that it fills.
	readMu sync.Mutex
	r      io.ReadCloser
	text   bytes.Buffer
}

// NewCodec returns a codec, or an error when the compression cannot be set up.
func NewCodec() (*Codec, error) {
	w, err := flate.NewWriterDict(io.Discard, flate.BestSpeed, []byte(dictionary))
	if err != nil {
		return nil, errors.Errorf("compress heartbeats: %w", err)
	}
	return &Codec{w: w, r: flate.NewReaderDict(bytes.NewReader(nil), []byte(dictionary))}, nil
}

// Encode returns the datagram of a message.
func (c *Codec) Encode(m Message) ([]byte, error) {
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Errorf("encode heartbeat: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.b.Reset()
	c.w.Reset(&c.b)
	_, err = c.w.Write(raw)
	if err := errors.Join(err, c.w.Close()); err != nil {
		return nil, errors.Errorf("compress heartbeat: %w", err)
	}
	return bytes.Clone(c.b.Bytes()), nil
}

// Decode returns the message in a datagram.
func (c *Codec) Decode(raw []byte) (Message, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	resetter, ok := c.r.(flate.Resetter)
	if !ok {
		return Message{}, errors.New("decompress heartbeat: the reader cannot be used again")
	}
	c.text.Reset()
	err := resetter.Reset(bytes.NewReader(raw), []byte(dictionary))
	if err == nil {
		_, err = c.text.ReadFrom(io.LimitReader(c.r, messageMost+1))
	}
	if err != nil {
		return Message{}, errors.Errorf("decompress heartbeat: %w", err)
	}
	if c.text.Len() > messageMost {
		return Message{}, errors.Newf("the heartbeat is larger than %d bytes", messageMost)
	}
	var m Message
	if err := json.Unmarshal(c.text.Bytes(), &m); err != nil {
		return Message{}, errors.Errorf("decode heartbeat: %w", err)
	}
	return m, nil
}
