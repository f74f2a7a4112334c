package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxMessageSize is the largest accepted size of a decompressed message, in bytes.
const maxMessageSize = 256 << 10

// dictionary is the preset dictionary for compression. It holds text that occurs in most messages, so that short messages
// compress too. All VMs must use the same dictionary.
const dictionary = `,"y":[{"d":{"vm":"","ip":"10.","d":"","r":"","b":1,"n":1,"p":1,"c":0.4,"l":0.0,"u":true,"v":1,"w":true},"m":` +
	`"k":["10.","a":true},"t":{"":{"o":1,"a":1,"l":{"f":{"vm":"","ip":"10.`

// Codec encodes messages as datagrams of compressed JSON and decodes them. Create one with NewCodec. It is safe for
// concurrent use.
type Codec struct {
	mu         sync.Mutex
	writer     *flate.Writer
	compressed bytes.Buffer

	// readMu guards reader and decompressed.
	readMu       sync.Mutex
	reader       io.ReadCloser
	decompressed bytes.Buffer
}

// NewCodec returns a codec, or an error if the compressor cannot be created.
func NewCodec() (*Codec, error) {
	w, err := flate.NewWriterDict(io.Discard, flate.BestSpeed, []byte(dictionary))
	if err != nil {
		return nil, errors.Errorf("compress heartbeats: %w", err)
	}
	return &Codec{writer: w, reader: flate.NewReaderDict(bytes.NewReader(nil), []byte(dictionary))}, nil
}

// Encode returns the datagram for a message.
func (c *Codec) Encode(m Message) ([]byte, error) {
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Errorf("encode heartbeat: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.compressed.Reset()
	c.writer.Reset(&c.compressed)
	_, err = c.writer.Write(raw)
	if err := errors.Join(err, c.writer.Close()); err != nil {
		return nil, errors.Errorf("compress heartbeat: %w", err)
	}
	return bytes.Clone(c.compressed.Bytes()), nil
}

// Decode returns the message in a datagram. It returns an error if the datagram is malformed or larger than 256 KiB when
// decompressed.
func (c *Codec) Decode(raw []byte) (Message, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	resetter, ok := c.reader.(flate.Resetter)
	if !ok {
		return Message{}, errors.New("decompress heartbeat: the flate reader does not support Reset")
	}
	c.decompressed.Reset()
	err := resetter.Reset(bytes.NewReader(raw), []byte(dictionary))
	if err == nil {
		_, err = c.decompressed.ReadFrom(io.LimitReader(c.reader, maxMessageSize+1))
	}
	if err != nil {
		return Message{}, errors.Errorf("decompress heartbeat: %w", err)
	}
	if c.decompressed.Len() > maxMessageSize {
		return Message{}, errors.Newf("decompressed heartbeat is larger than %d bytes", maxMessageSize)
	}
	var m Message
	if err := json.Unmarshal(c.decompressed.Bytes(), &m); err != nil {
		return Message{}, errors.Errorf("decode heartbeat: %w", err)
	}
	return m, nil
}
