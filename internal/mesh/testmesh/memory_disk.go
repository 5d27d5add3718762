package testmesh

import (
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
)

// ErrPowerLoss is the error with which tests stop a process whose machine has lost power.
var ErrPowerLoss = errors.New("injected fault: power loss")

// MemoryDisk is the disk of one process. It can produce the states in which a power loss may leave the disk: data that
// was synced stays, and each later write is kept, missing or torn. Each change of a directory entry (creation,
// renaming, removal) since the last sync of its directory is kept or lost independently.
type MemoryDisk struct {
	mu             sync.Mutex
	root           *node
	live           directoryEntries
	durable        directoryEntries // as of the last sync of each directory
	pending        []entryChange    // changes since then, in order
	operationCount int

	// PowerLossAfter is the number of operations after which the power is lost; 0 for never. Later operations do not affect the
	// states that AfterPowerLoss visits. They do not fail, because a power loss does not run the error paths of goleveldb.
	PowerLossAfter       int
	atPowerLoss          *MemoryDisk // copy of the disk at the power loss; nil before it
	failing              bool
	ignoreDirectorySyncs bool
	// IgnoreFileSyncs makes SyncFile a no-op. Writers still sync.
	IgnoreFileSyncs bool
}

// node is a file or a directory.
type node struct {
	synced   []byte
	unsynced [][]byte // writes since the last sync
}

func (n *node) content() []byte {
	return append(slices.Clone(n.synced), slices.Concat(n.unsynced...)...)
}

type entryKey struct {
	directory *node
	name      string
}

type directoryEntries map[entryKey]*node

// entryChange is the creation, renaming or removal of a directory entry.
type entryChange struct {
	from, to entryKey // from is zero for a creation, to for a removal
	node     *node
}

func (c entryChange) apply(all directoryEntries) {
	if c.from.directory != nil && all[c.from] == c.node {
		delete(all, c.from)
	}
	if c.to.directory != nil {
		all[c.to] = c.node
	}
}

// NewMemoryDisk returns an empty disk.
func NewMemoryDisk() *MemoryDisk {
	return &MemoryDisk{root: &node{}, live: directoryEntries{}, durable: directoryEntries{}}
}

// SetFailing sets whether operations that change or sync something fail.
func (d *MemoryDisk) SetFailing(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

// IgnoreDirectorySyncs sets whether SyncDirectory is a no-op. The directory syncs of goleveldb still work.
func (d *MemoryDisk) IgnoreDirectorySyncs(ignore bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoreDirectorySyncs = ignore
}

// OperationCount returns the number of operations so far that changed or synced something.
func (d *MemoryDisk) OperationCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operationCount
}

// Size returns the total size in bytes of the files that have a directory entry.
func (d *MemoryDisk) Size() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, file := range d.live {
		n += len(file.content())
	}
	return n
}

// beginOperation counts an operation and returns an error if operations are set to fail.
func (d *MemoryDisk) beginOperation() error {
	if d.operationCount++; d.PowerLossAfter > 0 && d.operationCount == d.PowerLossAfter+1 {
		d.atPowerLoss = d.clone()
	}
	if d.failing {
		return ErrWriteFailed
	}
	return nil
}

// PowerLost reports whether the power has been lost.
func (d *MemoryDisk) PowerLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.atPowerLoss != nil
}

// clone copies the disk, including unsynced changes.
func (d *MemoryDisk) clone() *MemoryDisk {
	copies := map[*node]*node{nil: nil}
	copyOf := func(n *node) *node {
		if _, done := copies[n]; !done {
			copies[n] = &node{synced: slices.Clone(n.synced), unsynced: slices.Clone(n.unsynced)}
		}
		return copies[n]
	}
	key := func(entry entryKey) entryKey { return entryKey{copyOf(entry.directory), entry.name} }
	result := &MemoryDisk{root: copyOf(d.root), live: directoryEntries{}, durable: directoryEntries{}, operationCount: d.operationCount,
		ignoreDirectorySyncs: d.ignoreDirectorySyncs, IgnoreFileSyncs: d.IgnoreFileSyncs}
	for entry, file := range d.live {
		result.live[key(entry)] = copyOf(file)
	}
	for entry, file := range d.durable {
		result.durable[key(entry)] = copyOf(file)
	}
	for _, change := range d.pending {
		result.pending = append(result.pending, entryChange{key(change.from), key(change.to), copyOf(change.node)})
	}
	return result
}

func (d *MemoryDisk) changeEntry(c entryChange) {
	c.apply(d.live)
	d.pending = append(d.pending, c)
}

// key returns the directory entry of a path, which is a name in the root directory or in one of its directories.
func (d *MemoryDisk) key(path string) (entryKey, error) {
	directory, name, nested := strings.Cut(path, "/")
	if !nested {
		return entryKey{d.root, path}, nil
	}
	parent := d.live[entryKey{d.root, directory}]
	if parent == nil {
		return entryKey{}, os.ErrNotExist
	}
	return entryKey{parent, name}, nil
}

func (d *MemoryDisk) find(path string) (entryKey, *node, error) {
	key, err := d.key(path)
	if err != nil {
		return key, nil, err
	}
	if d.live[key] == nil {
		return key, nil, os.ErrNotExist
	}
	return key, d.live[key], nil
}

// MakeDirectory creates a directory, unless it exists.
func (d *MemoryDisk) MakeDirectory(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := entryKey{d.root, name}
	if d.live[key] != nil {
		return nil
	}
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.changeEntry(entryChange{to: key, node: &node{}})
	return nil
}

// Rename renames a file or directory.
func (d *MemoryDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	source, file, err := d.find(from)
	if err != nil {
		return err
	}
	target, err := d.key(to)
	if err != nil {
		return err
	}
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.changeEntry(entryChange{source, target, file})
	return nil
}

// SyncDirectory makes the entries of a directory durable. The empty name stands for the root directory.
func (d *MemoryDisk) SyncDirectory(name string) error {
	d.mu.Lock()
	ignore := d.ignoreDirectorySyncs
	d.mu.Unlock()
	if ignore {
		return nil
	}
	return d.syncEntries(name)
}

func (d *MemoryDisk) syncEntries(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	directory := d.root
	if name != "" {
		if directory = d.live[entryKey{d.root, name}]; directory == nil {
			return os.ErrNotExist
		}
	}
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.pending = slices.DeleteFunc(d.pending, func(c entryChange) bool {
		if c.from.directory != directory && c.to.directory != directory {
			return false
		}
		c.apply(d.durable)
		return true
	})
	return nil
}

func (d *MemoryDisk) create(path string) (*node, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key, err := d.key(path)
	if err != nil {
		return nil, err
	}
	if err := d.beginOperation(); err != nil {
		return nil, err
	}
	file := &node{}
	d.changeEntry(entryChange{to: key, node: file})
	return file, nil
}

func (d *MemoryDisk) write(file *node, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(); err != nil {
		return err
	}
	file.unsynced = append(file.unsynced, slices.Clone(data))
	return nil
}

func (d *MemoryDisk) sync(file *node) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(); err != nil {
		return err
	}
	file.synced, file.unsynced = file.content(), nil
	return nil
}

func (d *MemoryDisk) syncPath(path string) error {
	d.mu.Lock()
	_, file, err := d.find(path)
	d.mu.Unlock()
	if err != nil {
		return err
	}
	return d.sync(file)
}

func (d *MemoryDisk) read(path string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, file, err := d.find(path)
	if err != nil {
		return nil, err
	}
	return file.content(), nil
}

func (d *MemoryDisk) remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	key, file, err := d.find(path)
	if err != nil {
		return err
	}
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.changeEntry(entryChange{from: key, node: file})
	return nil
}

func (d *MemoryDisk) list(directory string) (entries []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	parent := d.live[entryKey{d.root, directory}]
	for key := range d.live {
		if key.directory == parent {
			entries = append(entries, key.name)
		}
	}
	slices.Sort(entries)
	return entries
}

// Corrupt overwrites the middle third of a file, as a disk fault might.
func (d *MemoryDisk) Corrupt(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, file, err := d.find(path)
	if err != nil {
		return err
	}
	file.synced, file.unsynced = file.content(), nil
	for n := len(file.synced) / 3; n < len(file.synced)*2/3; n++ {
		file.synced[n] ^= 0x5a
	}
	return nil
}

// ListFiles lists the files in a directory.
func (d *MemoryDisk) ListFiles(directory string) []string { return d.list(directory) }

// Effects of a power loss on an unsynced write.
const (
	writeMissing = iota
	writeKept
	writeTorn
	writeFateCount
)

// AfterPowerLoss calls visit with the states in which a power loss at this moment may leave the disk, and returns their
// number. If there are more than limit states, it visits limit seeded samples. The samples include the states in which
// all entry changes, or all writes, are kept or lost.
func (d *MemoryDisk) AfterPowerLoss(limit int, seed uint64, visit func(*MemoryDisk)) (states int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.atPowerLoss != nil {
		return d.atPowerLoss.AfterPowerLoss(limit, seed, visit)
	}
	files := d.unsyncedFiles()
	writes := 0
	for _, file := range files {
		writes += len(file.unsynced)
	}
	combinations := 1
	for n := 0; n < writes && combinations <= limit; n++ {
		combinations *= writeFateCount
	}
	for n := 0; n < len(d.pending) && combinations <= limit; n++ {
		combinations *= 2
	}
	random := rand.New(rand.NewPCG(seed, uint64(d.operationCount)))
	for n := range min(combinations, limit) {
		choose := func(choices int) int { return random.IntN(choices) }
		switch rest := n; {
		case combinations <= limit:
			choose = func(choices int) int { chosen := rest % choices; rest /= choices; return chosen }
		case n < 4: // entry changes all lost or all kept, writes all missing or all kept
			choose = func(choices int) int { return (n >> (choices - 2)) & 1 }
		}
		visit(d.stateAfterPowerLoss(files, choose))
		states++
	}
	return states
}

func (d *MemoryDisk) unsyncedFiles() (files []*node) {
	add := func(file *node) {
		if len(file.unsynced) > 0 && !slices.Contains(files, file) {
			files = append(files, file)
		}
	}
	for _, change := range d.pending {
		add(change.node)
	}
	for _, file := range d.durable {
		add(file)
	}
	slices.SortFunc(files, func(a, b *node) int { return len(a.unsynced) - len(b.unsynced) })
	return files
}

// stateAfterPowerLoss returns one state in which a power loss may leave the disk.
func (d *MemoryDisk) stateAfterPowerLoss(files []*node, choose func(choices int) int) *MemoryDisk {
	state := NewMemoryDisk()
	state.root, state.ignoreDirectorySyncs, state.IgnoreFileSyncs = d.root, d.ignoreDirectorySyncs, d.IgnoreFileSyncs
	entriesAfter := directoryEntries{}
	for key, file := range d.durable {
		entriesAfter[key] = file
	}
	for _, change := range d.pending {
		if choose(2) == 1 {
			change.apply(entriesAfter)
		}
	}
	contents := map[*node]*node{d.root: d.root}
	for _, file := range files {
		contents[file] = &node{synced: file.contentAfterPowerLoss(choose)}
	}
	copyOf := func(file *node) *node {
		if contents[file] == nil {
			contents[file] = &node{synced: slices.Clone(file.synced)}
		}
		return contents[file]
	}
	for key, file := range entriesAfter {
		state.live[entryKey{copyOf(key.directory), key.name}] = copyOf(file)
	}
	for key, file := range state.live {
		state.durable[key] = file
	}
	return state
}

// contentAfterPowerLoss returns the content of a file after a power loss. A missing write before one that is kept
// leaves zeros.
func (n *node) contentAfterPowerLoss(choose func(choices int) int) []byte {
	data := slices.Clone(n.synced)
	end := len(data)
	for _, write := range n.unsynced {
		written := make([]byte, len(write))
		switch choose(writeFateCount) {
		case writeKept:
			copy(written, write)
			end = len(data) + len(write)
		case writeTorn:
			copy(written, write[:len(write)/2])
			end = len(data) + len(write)
		}
		data = append(data, written...)
	}
	return data[:end]
}
