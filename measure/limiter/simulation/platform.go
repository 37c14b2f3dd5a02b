package simulation

import "github.com/fulmartide/fulmartide/internal/limiter"

// Platform simulates the object store and the VM list of the platform.
type Platform struct {
	Unavailable bool
	Reads       int
	Writes      int
	objects     map[string]object
	vms         map[string]bool
}

type object struct {
	value   []byte
	version uint64
}

func newPlatform() *Platform {
	return &Platform{objects: map[string]object{}, vms: map[string]bool{}}
}

func (p *Platform) put(name string, value []byte, ifVersion uint64) (uint64, bool) {
	p.Writes++
	o := p.objects[name]
	if o.version != ifVersion {
		return 0, false
	}
	p.objects[name] = object{value: value, version: ifVersion + 1}
	return ifVersion + 1, true
}

func (p *Platform) get(name string) (*limiter.Record, uint64) {
	p.Reads++
	o, ok := p.objects[name]
	if !ok {
		return nil, 0
	}
	r, err := limiter.DecodeRecord(o.value)
	if err != nil {
		panic(err)
	}
	return r, o.version
}
