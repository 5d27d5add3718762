package routing

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
)

// mostUnpacked bounds what a packed configuration may grow to.
const mostUnpacked = 256 << 20

// Packed is a configuration, or a change that leads to it, as it travels between processes.
type Packed struct {
	Result string // digest of the configuration
	Base   string `json:",omitempty"` // digest of the one that it changes, none for a whole one
	Data   []byte // compressed
}

// Pack compresses a configuration: as a change of a base, or whole where base is nil.
func Pack(base, t *Configuration) (*Packed, error) {
	content := []byte(t.document)
	p := &Packed{Result: t.digest}
	if base != nil {
		text, err := json.Marshal(base.ChangeTo(t))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		content, p.Base = text, base.digest
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	p.Data = packed.Bytes()
	return p, nil
}

// Unpack reads a packed configuration; base is the one that is held, nil for none.
func (p *Packed) Unpack(base *Configuration) (*Configuration, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), mostUnpacked))
	if err != nil {
		return nil, Error.New("unpacking: %v", err)
	}
	if p.Base == "" {
		t, err := Load(content)
		if err == nil && t.digest != p.Result {
			return nil, Error.New("what was told to be %.32s is %s", p.Result, t.digest)
		}
		return t, err
	}
	if base == nil {
		return nil, Error.New("a change, and nothing that it changes")
	}
	var c Change
	if err := json.Unmarshal(content, &c); err != nil {
		return nil, Error.New("a change: %v", err)
	}
	if c.Result != p.Result {
		return nil, Error.New("a change to %.32s, told to lead to %.32s", c.Result, p.Result)
	}
	return base.Apply(&c)
}
