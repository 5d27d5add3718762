package routing

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
)

// maxUnpackedBytes bounds what a packed configuration may grow to.
const maxUnpackedBytes = 256 << 20

// Packed is a configuration, or a change that leads to it, as it travels between processes.
type Packed struct {
	Result string // digest of the configuration
	Base   string `json:",omitempty"` // digest of the one that it changes, none for a whole one
	Data   []byte // compressed
}

// Pack compresses a configuration: as a change of a base, or whole where base is nil.
func Pack(base, configuration *Configuration) (*Packed, error) {
	content := []byte(configuration.document)
	packed := &Packed{Result: configuration.digest}
	if base != nil {
		text, err := json.Marshal(base.ChangeTo(configuration))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		content, packed.Base = text, base.digest
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := writer.Write(content); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	packed.Data = compressed.Bytes()
	return packed, nil
}

// Unpack reads a packed configuration; base is the one that is held, nil for none.
func (p *Packed) Unpack(base *Configuration) (*Configuration, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxUnpackedBytes))
	if err != nil {
		return nil, Error.New("unpacking: %v", err)
	}
	if p.Base == "" {
		configuration, err := Load(content)
		if err == nil && configuration.digest != p.Result {
			return nil, Error.New("what was told to be %.32s is %s", p.Result, configuration.digest)
		}
		return configuration, err
	}
	if base == nil {
		return nil, Error.New("a change, and nothing that it changes")
	}
	var change Change
	if err := json.Unmarshal(content, &change); err != nil {
		return nil, Error.New("a change: %v", err)
	}
	if change.Result != p.Result {
		return nil, Error.New("a change to %.32s, told to lead to %.32s", change.Result, p.Result)
	}
	return base.Apply(&change)
}
