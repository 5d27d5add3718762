package testmesh

import (
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
)

// ErrPowerLoss is what a MemoryDisk says to a process whose machine has lost power.
var ErrPowerLoss = errors.New("the power is gone")

// MemoryDisk is the disk of one process, and knows what each loss of power may leave of it. What a file's last sync covered
// stays; of later writes each is there, missing or torn. Each name that was made, renamed or removed since the last sync of
// its folder is kept or lost by itself.
type MemoryDisk struct {
	mu         sync.Mutex
	root       *node
	live       names
	durable    names        // as of the last syncs of their folders
	pending    []nameChange // since then, in order
	operations int

	// StopAfter is the number of operations after which the power is gone; 0 for never. What the process does after that has no
	// effect on what AfterPowerLoss shows. It is not failed: error paths of goleveldb are no part of a loss of power.
	StopAfter        int
	stopped          *MemoryDisk // as it was then
	refuses          bool
	ignoreFolderSync bool
	// IgnoreSyncFile has SyncFile do nothing. Syncs by writers go on.
	IgnoreSyncFile bool
}

// node is a file or a folder.
type node struct {
	synced   []byte
	unsynced [][]byte // writes since the last sync
}

func (n *node) content() []byte {
	return append(slices.Clone(n.synced), slices.Concat(n.unsynced...)...)
}

type nameKey struct {
	folder *node
	name   string
}

type names map[nameKey]*node

// nameChange is one change of a folder: a name is made, goes to another one, or is removed.
type nameChange struct {
	from, to nameKey // from is zero for a new name, to for a removed one
	node     *node
}

func (c nameChange) apply(all names) {
	if c.from.folder != nil && all[c.from] == c.node {
		delete(all, c.from)
	}
	if c.to.folder != nil {
		all[c.to] = c.node
	}
}

// NewMemoryDisk makes an empty disk.
func NewMemoryDisk() *MemoryDisk {
	return &MemoryDisk{root: &node{}, live: names{}, durable: names{}}
}

// Refuse has each operation fail that changes something, or no longer.
func (d *MemoryDisk) Refuse(refuses bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses = refuses
}

// IgnoreFolderSyncs has syncs of folders do nothing, as if the program did not call them. goleveldb's own go on.
func (d *MemoryDisk) IgnoreFolderSyncs(ignore bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoreFolderSync = ignore
}

// Operations is how many operations have changed or synced something so far.
func (d *MemoryDisk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// Bytes is the size of all files that can be reached.
func (d *MemoryDisk) Bytes() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, file := range d.live {
		n += len(file.content())
	}
	return n
}

// operate counts one operation and says whether it may happen.
func (d *MemoryDisk) operate() error {
	if d.operations++; d.StopAfter > 0 && d.operations == d.StopAfter+1 {
		d.stopped = d.clone()
	}
	if d.refuses {
		return ErrDiskRefuses
	}
	return nil
}

// PowerLost reports whether the power is gone.
func (d *MemoryDisk) PowerLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped != nil
}

// clone copies the disk with what is unsynced.
func (d *MemoryDisk) clone() *MemoryDisk {
	copies := map[*node]*node{nil: nil}
	of := func(n *node) *node {
		if _, done := copies[n]; !done {
			copies[n] = &node{synced: slices.Clone(n.synced), unsynced: slices.Clone(n.unsynced)}
		}
		return copies[n]
	}
	key := func(k nameKey) nameKey { return nameKey{of(k.folder), k.name} }
	out := &MemoryDisk{root: of(d.root), live: names{}, durable: names{}, operations: d.operations,
		ignoreFolderSync: d.ignoreFolderSync, IgnoreSyncFile: d.IgnoreSyncFile}
	for k, file := range d.live {
		out.live[key(k)] = of(file)
	}
	for k, file := range d.durable {
		out.durable[key(k)] = of(file)
	}
	for _, change := range d.pending {
		out.pending = append(out.pending, nameChange{key(change.from), key(change.to), of(change.node)})
	}
	return out
}

func (d *MemoryDisk) change(c nameChange) {
	c.apply(d.live)
	d.pending = append(d.pending, c)
}

// key is where a path stands: a name, or one in a folder.
func (d *MemoryDisk) key(path string) (nameKey, error) {
	folder, name, nested := strings.Cut(path, "/")
	if !nested {
		return nameKey{d.root, path}, nil
	}
	inside := d.live[nameKey{d.root, folder}]
	if inside == nil {
		return nameKey{}, os.ErrNotExist
	}
	return nameKey{inside, name}, nil
}

func (d *MemoryDisk) find(path string) (nameKey, *node, error) {
	key, err := d.key(path)
	if err != nil {
		return key, nil, err
	}
	if d.live[key] == nil {
		return key, nil, os.ErrNotExist
	}
	return key, d.live[key], nil
}

// MakeDirectory makes a folder, unless it is there.
func (d *MemoryDisk) MakeDirectory(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := nameKey{d.root, name}
	if d.live[key] != nil {
		return nil
	}
	if err := d.operate(); err != nil {
		return err
	}
	d.change(nameChange{to: key, node: &node{}})
	return nil
}

// Rename gives a file or folder another name.
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
	if err := d.operate(); err != nil {
		return err
	}
	d.change(nameChange{source, target, file})
	return nil
}

// SyncDirectory brings the names in a folder to the disk; the empty name is that of the outer folder.
func (d *MemoryDisk) SyncDirectory(name string) error {
	d.mu.Lock()
	ignore := d.ignoreFolderSync
	d.mu.Unlock()
	if ignore {
		return nil
	}
	return d.syncNames(name)
}

func (d *MemoryDisk) syncNames(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	folder := d.root
	if name != "" {
		if folder = d.live[nameKey{d.root, name}]; folder == nil {
			return os.ErrNotExist
		}
	}
	if err := d.operate(); err != nil {
		return err
	}
	d.pending = slices.DeleteFunc(d.pending, func(c nameChange) bool {
		if c.from.folder != folder && c.to.folder != folder {
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
	if err := d.operate(); err != nil {
		return nil, err
	}
	file := &node{}
	d.change(nameChange{to: key, node: file})
	return file, nil
}

func (d *MemoryDisk) write(file *node, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.operate(); err != nil {
		return err
	}
	file.unsynced = append(file.unsynced, slices.Clone(data))
	return nil
}

func (d *MemoryDisk) sync(file *node) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.operate(); err != nil {
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
	if err := d.operate(); err != nil {
		return err
	}
	d.change(nameChange{from: key, node: file})
	return nil
}

func (d *MemoryDisk) list(folder string) (all []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	inside := d.live[nameKey{d.root, folder}]
	for key := range d.live {
		if key.folder == inside {
			all = append(all, key.name)
		}
	}
	slices.Sort(all)
	return all
}

// Damage overwrites the middle of a file, as a fault of the disk itself would.
func (d *MemoryDisk) Damage(path string) error {
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

// Files lists the files in a folder.
func (d *MemoryDisk) Files(folder string) []string { return d.list(folder) }

// The fates of an unsynced write.
const (
	writeMissing = iota
	writeThere
	writeTorn
	writeFates
)

// AfterPowerLoss calls take with disks that a loss of power at this moment may leave: every one up to a bound, beyond it as
// many seeded samples, with those among them in which names, or writes, are all kept or all lost.
func (d *MemoryDisk) AfterPowerLoss(bound int, seed uint64, take func(*MemoryDisk)) (states int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped != nil {
		return d.stopped.AfterPowerLoss(bound, seed, take)
	}
	files := d.unsyncedFiles()
	writes := 0
	for _, file := range files {
		writes += len(file.unsynced)
	}
	combinations := 1
	for n := 0; n < writes && combinations <= bound; n++ {
		combinations *= writeFates
	}
	for n := 0; n < len(d.pending) && combinations <= bound; n++ {
		combinations *= 2
	}
	random := rand.New(rand.NewPCG(seed, uint64(d.operations)))
	for n := range min(combinations, bound) {
		choose := func(of int) int { return random.IntN(of) }
		switch rest := n; {
		case combinations <= bound:
			choose = func(of int) int { chosen := rest % of; rest /= of; return chosen }
		case n < 4: // names lost or kept, writes missing or there
			choose = func(of int) int { return (n >> (of - 2)) & 1 }
		}
		take(d.outcome(files, choose))
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

// outcome is one disk that may be left.
func (d *MemoryDisk) outcome(files []*node, choose func(of int) int) *MemoryDisk {
	left := NewMemoryDisk()
	left.root, left.ignoreFolderSync, left.IgnoreSyncFile = d.root, d.ignoreFolderSync, d.IgnoreSyncFile
	after := names{}
	for key, file := range d.durable {
		after[key] = file
	}
	for _, change := range d.pending {
		if choose(2) == 1 {
			change.apply(after)
		}
	}
	contents := map[*node]*node{d.root: d.root}
	for _, file := range files {
		contents[file] = &node{synced: file.tear(choose)}
	}
	copied := func(file *node) *node {
		if contents[file] == nil {
			contents[file] = &node{synced: slices.Clone(file.synced)}
		}
		return contents[file]
	}
	for key, file := range after {
		left.live[nameKey{copied(key.folder), key.name}] = copied(file)
	}
	for key, file := range left.live {
		left.durable[key] = file
	}
	return left
}

// tear is what is left of a file whose last writes were not synced. A missing write before one that is there leaves zeros.
func (n *node) tear(choose func(of int) int) []byte {
	data := slices.Clone(n.synced)
	end := len(data)
	for _, write := range n.unsynced {
		place := make([]byte, len(write))
		switch choose(writeFates) {
		case writeThere:
			copy(place, write)
			end = len(data) + len(write)
		case writeTorn:
			copy(place, write[:len(write)/2])
			end = len(data) + len(write)
		}
		data = append(data, place...)
	}
	return data[:end]
}
