package processes

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds of configuration in force, as operators are promised them.
const (
	configBound   = 2500 * time.Millisecond // from the acknowledgement of a version until each balancer in touch goes by it
	backBound     = 250 * time.Millisecond  // after which a balancer that has gone by a version goes by no older one
	slowBack      = 8                       // times that, for a balancer that stood still
	touchBound    = 3 * time.Second         // after trouble, until a balancer counts as in touch
	leastCompared = 20                      // requests on added routes, from which on their share is judged
	leastShare    = 4                       // the share served on first routes may be so many times theirs
)

// version is one version of the configuration. Each adds a route of its own, and takes one away that an older one added.
type version struct {
	edition   int
	sent      time.Duration // since the start
	acked     time.Duration // 0 for never
	withdrawn int           // edition whose route it takes away, 0 for none
}

// probe is a request that shows which version a balancer goes by.
type probe struct {
	proxy, life int // life is of its process, -1 where that ended meanwhile
	edition     int // whose route was asked for
	invalid     bool
	sent, done  time.Duration
	status      int
}

// trouble is a time in which a balancer is not in touch.
type trouble struct {
	proxy      int // -1 for all
	from, till time.Duration
}

// configurationJudge holds what probes saw against what operators were told. It reads no clock.
type configurationJudge struct {
	versions []version // by rising edition
	probes   []probe
	troubles []trouble
	breaks   func(format string, args ...any)
}

// inTouch reports whether a balancer had no trouble for a while before a request, until its end.
func (j *configurationJudge) inTouch(p *probe) bool {
	return !slices.ContainsFunc(j.troubles, func(t trouble) bool {
		return (t.proxy < 0 || t.proxy == p.proxy) && p.done >= t.from && p.sent <= t.till+touchBound
	})
}

// routeOf is when the route of an edition may be there, and must be: from the sending of its version, from so long after the
// acknowledgement; and when it must be gone and may be: the same of the version that takes it away.
func (j *configurationJudge) routeOf(edition int) (added, gone *version) {
	for n := range j.versions {
		v := &j.versions[n]
		if v.edition == edition {
			added = v
		}
		if v.withdrawn == edition {
			gone = v
		}
	}
	return added, gone
}

// judge names each probe that breaks a rule.
func (j *configurationJudge) judge() {
	for n := range j.probes {
		p := &j.probes[n]
		served, unknown := p.status == http.StatusOK, p.status == http.StatusNotFound
		if p.invalid {
			if served {
				j.breaks("CONFIG: balancer %d serves by an invalid configuration, edition %d", p.proxy, p.edition)
			}
			continue
		}
		added, gone := j.routeOf(p.edition)
		if added == nil || !j.inTouch(p) {
			continue
		}
		if unknown && added.acked > 0 && p.sent > added.acked+configBound && (gone == nil || p.done < gone.sent) {
			j.breaks("CONFIG: edition %d is not in force at balancer %d %v after its acknowledgement", p.edition, p.proxy, p.sent-added.acked)
		}
		if served && gone != nil && gone.acked > 0 && p.sent > gone.acked+configBound {
			j.breaks("CONFIG: balancer %d serves the route of edition %d %v after edition %d took it away", p.proxy, p.edition, p.sent-gone.acked, gone.edition)
		}
	}
	j.judgeBack()
	j.judgeShare()
}

// judgeBack names balancers that went by an older version after a newer one, within one life.
func (j *configurationJudge) judgeBack() {
	type life struct{ proxy, life int }
	seen := map[life][]*probe{} // that showed an edition in force
	for n := range j.probes {
		p := &j.probes[n]
		if p.life >= 0 && !p.invalid && p.status == http.StatusOK {
			seen[life{p.proxy, p.life}] = append(seen[life{p.proxy, p.life}], p)
		}
	}
	for n := range j.probes {
		p := &j.probes[n]
		if p.life < 0 || p.invalid || p.status != http.StatusNotFound && p.status != http.StatusOK {
			continue
		}
		bound := backBound
		if !j.inTouch(p) {
			bound *= slowBack
		}
		added, gone := j.routeOf(p.edition)
		if added == nil {
			continue
		}
		for _, earlier := range seen[life{p.proxy, p.life}] {
			if p.sent <= earlier.done+bound {
				continue
			}
			switch {
			case p.status == http.StatusNotFound && earlier.edition >= p.edition && (gone == nil || p.done < gone.sent):
				j.breaks("CONFIG: balancer %d went back: edition %d was in force, and %v later edition %d is not", p.proxy, earlier.edition, p.sent-earlier.done, p.edition)
			case p.status == http.StatusOK && gone != nil && earlier.edition >= gone.edition:
				j.breaks("CONFIG: balancer %d went back: edition %d was in force, and %v later the route of edition %d is served", p.proxy, earlier.edition, p.sent-earlier.done, p.edition)
			default:
				continue
			}
			break
		}
	}
}

// judgeShare holds what is served on added routes, in calm times, against what is on the first.
func (j *configurationJudge) judgeShare() {
	added, first := j.shares()
	if added.asked >= leastCompared && added.ratio()*leastShare < first.ratio() {
		j.breaks("CONFIG: of %d requests on routes that were added, %d were served; of %d on the first routes, %d", added.asked, added.served, first.asked, first.served)
	}
}

type share struct{ asked, served int }

func (s share) ratio() float64 { return float64(s.served) / float64(max(s.asked, 1)) }

func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.asked) }

// shares are what was served on routes that were surely there, by balancers in touch: on those of later versions, and of the first.
func (j *configurationJudge) shares() (added, first share) {
	for n := range j.probes {
		p := &j.probes[n]
		v, gone := j.routeOf(p.edition)
		if p.invalid || v == nil || v.acked == 0 || p.sent <= v.acked+configBound || gone != nil && p.done >= gone.sent || !j.inTouch(p) {
			continue
		}
		of := &added
		if v.edition == firstEdition {
			of = &first
		}
		of.asked++
		if p.status == http.StatusOK {
			of.served++
		}
	}
	return added, first
}

// inForce is how long each version took from its acknowledgement until a balancer was first seen to go by it, by what probes can tell.
func (j *configurationJudge) inForce() (all []time.Duration) {
	type at struct{ proxy, edition int }
	seen := map[at]time.Duration{}
	for n := range j.probes {
		p := &j.probes[n]
		k := at{p.proxy, p.edition}
		if p.status == http.StatusOK && !p.invalid && (seen[k] == 0 || p.done < seen[k]) {
			seen[k] = p.done
		}
	}
	for k, done := range seen {
		if v, _ := j.routeOf(k.edition); v != nil && v.acked > 0 && v.edition != firstEdition {
			all = append(all, max(0, done-v.acked))
		}
	}
	slices.Sort(all)
	return all
}
