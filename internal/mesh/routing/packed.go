package routing

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
)

// maxUnpackedBytes limits the size of a decompressed configuration or change.
const maxUnpackedBytes = 256 << 20

// Packed is a compressed configuration, or a compressed change that results in it, for the transfer between processes.
type Packed struct {
	Result string // digest of the configuration
	Base   string `json:",omitempty"` // digest of the base of the change, empty for a whole configuration
	Data   []byte // compressed with DEFLATE
}

// Pack compresses a configuration as a change of base, or as a whole if base is nil.
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

// Unpack decompresses and decodes a packed configuration. A packed change requires its base; otherwise base may be nil.
func (p *Packed) Unpack(base *Configuration) (*Configuration, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxUnpackedBytes))
	if err != nil {
		return nil, Error.New("decompressing the configuration: %v", err)
	}
	if p.Base == "" {
		configuration, err := Load(content)
		if err == nil && configuration.digest != p.Result {
			return nil, Error.New("configuration announced as %.32s has the digest %s", p.Result, configuration.digest)
		}
		return configuration, err
	}
	if base == nil {
		return nil, Error.New("received a change without having a base configuration")
	}
	var change Change
	if err := json.Unmarshal(content, &change); err != nil {
		return nil, Error.New("decoding a change: %v", err)
	}
	if change.Result != p.Result {
		return nil, Error.New("change results in %.32s but was announced to result in %.32s", change.Result, p.Result)
	}
	return base.Apply(&change)
}
