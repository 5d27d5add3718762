package meshctl

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"ottershift/internal/mesh/routing"
)

// callAPI makes a call to the control API. It tries the addresses in turn, up to three times each, until a response is
// conclusive.
func (c *client) callAPI(call string, baseVersion int64, body []byte) ([]byte, error) {
	if err := c.requireAddresses(); err != nil {
		return nil, err
	}
	var failures errs.Group
	for range 3 {
		for _, address := range c.seeds {
			request, err := http.NewRequest(http.MethodPost, "http://"+address+"/-/rpc?call="+call, strings.NewReader(string(body)))
			if err != nil {
				return nil, Error.Wrap(err)
			}
			request.Header.Set("Content-Type", "application/json")
			if baseVersion >= 0 {
				request.Header.Set("If-Match", strconv.FormatInt(baseVersion, 10))
			}
			response, err := (&http.Client{Timeout: c.timeout}).Do(request)
			if err != nil {
				failures.Add(Error.New("%s: %v", address, err))
				continue
			}
			text, err := io.ReadAll(response.Body)
			response.Body.Close()
			switch {
			case err == nil && response.StatusCode == http.StatusOK:
				return text, nil
			case err == nil && response.StatusCode < 500:
				return nil, &exitError{Error.New("%s: %s", address, strings.TrimSpace(string(text))), Refused}
			}
			failures.Add(Error.New("%s: %d %s", address, response.StatusCode, strings.TrimSpace(string(text))))
		}
	}
	return nil, &exitError{Error.New("no conclusive response, so that a change may or may not take effect: %v", failures.Err()), OutcomeUnknown}
}

// fetch prints the current configuration, and a warning if it is ambiguous.
func (c *client) fetch() error {
	text, err := c.callAPI("timetable.fetch", -1, nil)
	if err != nil {
		return err
	}
	if configuration, err := routing.Load(text); err == nil && configuration.Ambiguities() != nil {
		fmt.Fprintf(os.Stderr, "the configuration is in force, but would be refused as a change, since it is ambiguous:\n%v\n", configuration.Ambiguities())
	}
	_, err = fmt.Fprintln(c.out, string(text))
	return err
}

// readInput reads a file, or standard input for the name "-".
func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// put makes a change of the configuration. It builds on the current version if baseVersion is below 0.
func (c *client) put(call, file string, baseVersion int64) error {
	body, err := readInput(file)
	if err != nil {
		return Error.Wrap(err)
	}
	if baseVersion < 0 {
		current, err := c.currentVersion()
		if err != nil {
			return err
		}
		baseVersion = current
	}
	if _, err := c.callAPI(call, baseVersion, body); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "applied on top of version %d\n", baseVersion)
	return err
}

// currentVersion returns the version of the current configuration, 0 if there is none yet.
func (c *client) currentVersion() (int64, error) {
	text, err := c.callAPI("timetable.fetch", -1, nil)
	if refusal, is := err.(*exitError); is && refusal.code == Refused {
		return 0, nil // no configuration has been stored yet
	}
	if err != nil {
		return 0, err
	}
	configuration, err := routing.Load(text)
	if err != nil {
		return 0, err
	}
	return configuration.Edition, nil
}

// checkConfiguration validates a configuration file without calling a controller.
func (c *client) checkConfiguration(file string) error {
	body, err := readInput(file)
	if err != nil {
		return Error.Wrap(err)
	}
	configuration, err := routing.Parse(body)
	if err != nil {
		return &exitError{err, Refused}
	}
	_, err = fmt.Fprintf(c.out, "%s: version %d, %d routes, %d services, %d tenants\n", file, configuration.Edition, len(configuration.Routes), len(configuration.Services), len(configuration.Tenants))
	return err
}

// diff prints what a configuration file would add, change and remove.
func (c *client) diff(file string) error {
	body, err := readInput(file)
	if err != nil {
		return Error.Wrap(err)
	}
	next, err := routing.Parse(body)
	if err != nil {
		return &exitError{err, Refused}
	}
	text, err := c.callAPI("timetable.fetch", -1, nil)
	if err != nil {
		return err
	}
	current, err := routing.Load(text)
	if err != nil {
		return err
	}
	lines := routing.Diff(current, next)
	if c.json {
		return c.printJSON(lines)
	}
	for _, line := range lines {
		fmt.Fprintln(c.out, line)
	}
	return nil
}
