package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const configLimit = 2500 * time.Millisecond

// partsRoute returns a route of the parts catalogue.
func partsRoute(name, prefix, deadline string) string {
	return fmt.Sprintf(`{"Name":%q,"MailClass":"once_only","Target":"1000ms","Precedence":1,"Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":"stores","Deadline":%q,"DeliveryTries":2}}`, name, prefix, deadline)
}

// partsTown returns a town with its routes.
func partsTown(town string, routes ...string) string {
	return fmt.Sprintf(`{"Town":%q,"Regulations":[%s]}`, town, strings.Join(routes, ","))
}

// partsConfiguration returns a whole configuration of towns.
func partsConfiguration(edition int, towns ...string) string {
	return fmt.Sprintf(`{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},"PostOffices":[%s],"Depots":[{"Name":"stores","HealthPath":"/health","LineCap":130,"Protocol":"h1","Sealed":false},{"Name":"catalogue","HealthPath":"/health","LineCap":130,"Protocol":"h1","Sealed":false}]}`,
		edition, strings.Join(towns, ","))
}

// startParts starts three controllers and two branch machines, takes a first configuration and waits until a request
// is served.
func startParts(m *mesh, edition int, configuration, town, path string) (front *machine, served *upstream, err error) {
	for _, zone := range []string{"sohar", "saham", "liwa"} {
		m.add("sorting", zone, "")
	}
	front = m.add("branch", "sohar", "catalogue")
	back := m.add("branch", "saham", "stores")
	for _, c := range m.machines {
		if err := c.start(); err != nil {
			return nil, nil, err
		}
	}
	if _, err := m.orderUntilTaken("timetable.replace", "0", configuration, 20*time.Second); err != nil {
		return nil, nil, err
	}
	m.record.line("version %d: %s", edition, configuration)
	served, err = newUpstream(back, "i-stores", 6, func(*http.Request) time.Duration { return 10 * time.Millisecond })
	if err != nil {
		return nil, nil, err
	}
	if !waitUntil(15*time.Second, func() bool {
		return send(m.record, front.at("Outbound"), "POST", town, path, fmt.Sprint("first-", m.record.since().Milliseconds()), "", "x", 2*time.Second).status == http.StatusOK
	}) {
		return nil, nil, fmt.Errorf("no first request was served")
	}
	time.Sleep(4 * time.Second) // longer than Touch
	return front, served, nil
}

// askAll sends requests to a host and returns how they were answered.
func askAll(m *mesh, front *machine, town, path, name string, count int) (statuses map[int]int) {
	statuses = map[int]int{}
	for n := range count {
		statuses[send(m.record, front.at("Outbound"), "POST", town, path, fmt.Sprintf("%s-%03d", name, n), "", "x", 2*time.Second).status]++
	}
	return statuses
}

// sameName changes the deadline of one town's route. Another town has a route of the same name. With the disruption
// the change is an amendment, without it a whole configuration.
func sameName(m *mesh, trouble bool) (broken bool, err error) {
	sohar, liwa := partsTown("sohar.example", partsRoute("stock-issue", "/issue/", "4000ms")), partsTown("liwa.example", partsRoute("stock-issue", "/issue/", "4000ms"))
	front, u, err := startParts(m, 7, partsConfiguration(7, sohar, liwa), "liwa.example", "/issue/a")
	if err != nil {
		return false, err
	}
	defer u.close()
	before := askAll(m, front, "liwa.example", "/issue/a", "before", 50)
	m.record.line("liwa.example before the change: %v", before)
	changed := partsTown("sohar.example", partsRoute("stock-issue", "/issue/", "5000ms"))
	if trouble {
		body := fmt.Sprintf(`{"Edition":9,"Deliver":{"PostOffices":[%s]}}`, changed)
		m.record.line("amendment on version 7: %s", body)
		_, err = m.orderUntilTaken("timetable.amend", "7", body, 5*time.Second)
	} else {
		_, err = m.orderUntilTaken("timetable.replace", "7", partsConfiguration(9, changed, liwa), 5*time.Second)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(configLimit + 500*time.Millisecond)
	status, read := m.order(m.machines[1], "timetable.fetch", "", "", time.Second)
	m.record.line("read back: %d %s", status, read)
	after, own := askAll(m, front, "liwa.example", "/issue/a", "after", 200), askAll(m, front, "sohar.example", "/issue/a", "own", 50)
	m.record.line("later than Config after the acknowledgement: liwa.example %v, sohar.example %v", after, own)
	if before[200] != 50 || own[200] != 50 || !trouble && after[200] != 200 {
		return false, fmt.Errorf("requests that must be served were not")
	}
	return after[404] > 0, nil
}
