package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/membership"
)

// depart asks a controller for the departures of a node, after recording one if instance is set.
func (c *cluster) depart(n int, node, instance string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := c.nodes[n].handleDeparture(ctx, &membership.DepartureRequest{Node: node, Instance: instance})
	if err != nil {
		return nil, err
	}
	return response.Departed, nil
}

// Departures that were confirmed must be known to every controller at once, share changes of the state, and survive the
// loss of the controller that confirmed them and a restart of all others.
func TestConfirmedDeparturesSurviveLostControllers(t *testing.T) {
	c := newCluster(t, 1, 0, disabledGuards{})
	const nodes = 30
	before := c.knownState(0).Index
	var recorded sync.WaitGroup
	failures := make(chan error, nodes)
	for n := range nodes {
		recorded.Go(func() {
			departed, err := c.depart(0, fmt.Sprint("node-", n), "i-1")
			if err == nil && len(departed) != 1 {
				err = fmt.Errorf("node-%d: %v", n, departed)
			}
			failures <- err
		})
	}
	recorded.Wait()
	for range nodes {
		must.NoError(t, <-failures)
	}
	must.Less(t, before+nodes, c.knownState(0).Index) // several in one change
	unchanged := c.knownState(0).Index
	for n := range c.nodes {
		departed, err := c.depart(n, "node-7", "i-1") // again, as a response may have been lost
		must.NoError(t, err)
		must.Eq(t, []string{"i-1"}, departed)
	}
	must.Eq(t, unchanged, c.knownState(0).Index)
	c.loseMember(0)
	for n := 1; n < len(c.nodes); n++ {
		c.terminate(n)
	}
	for n := 1; n < len(c.nodes); n++ {
		c.start(n)
	}
	c.eventually("the departures are known after the loss", func() bool {
		departed, err := c.depart(1, "node-7", "")
		return err == nil && len(departed) == 1 && departed[0] == "i-1"
	})
}

// A controller without a majority must neither confirm a departure nor answer a question about departures, since its
// state may be old.
func TestPartitionedControllerConfirmsNoDeparture(t *testing.T) {
	c := newCluster(t, 1, 0, disabledGuards{})
	c.loseMember(0)
	_, err := c.depart(1, "node", "i-1")
	must.NoError(t, err)
	for _, instance := range []string{"", "i-1", "i-2"} {
		departed, err := c.depart(0, "node", instance)
		must.Error(t, err, must.Sprint(departed))
	}
}
