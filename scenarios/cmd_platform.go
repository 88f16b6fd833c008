package scenarios

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// controlTimeout bounds one request to a stand-in's control path.
const controlTimeout = 5 * time.Second

var controlClient = &http.Client{Timeout: controlTimeout}

// setFaults sends faults to a stand-in.
func setFaults(addr string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	req, err := http.NewRequest(http.MethodPatch, "http://"+addr+standin.PathFaults, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("set faults: status %d", resp.StatusCode)
	}
	return nil
}

// logFaults returns the faults of the log.
func (r *run) logFaults() (standin.LogFaults, error) {
	var faults standin.LogFaults
	resp, err := controlClient.Get("http://" + r.log.ready + standin.PathFaults)
	if err != nil {
		return faults, errors.Wrap(err, "get faults")
	}
	defer resp.Body.Close()
	return faults, errors.Wrap(json.NewDecoder(resp.Body).Decode(&faults), "decode faults")
}

// cmdLog sets the log's faults: log down|hang|up|slow D|lose-answers N|retain N|limit N.
func cmdLog(_ *testscript.TestScript, r *run, args []string) error {
	if r.log == nil {
		return errors.New("the deployment has not been started")
	}
	faults, err := r.logFaults()
	if err != nil {
		return err
	}
	if err := changeLogFaults(&faults, args); err != nil {
		return err
	}
	return setFaults(r.log.ready, faults)
}

// changeLogFaults applies the words of a log command.
func changeLogFaults(faults *standin.LogFaults, words []string) error {
	if len(words) == 1 {
		switch words[0] {
		case "up":
			faults.Down = standin.DownNo
		case "down":
			faults.Down = standin.DownRefuse
		case "hang":
			faults.Down = standin.DownHang
		default:
			return errors.Newf("unknown fault %q", words[0])
		}
		return nil
	}
	if len(words) != 2 {
		return errors.New("want a fault and its amount")
	}
	if words[0] == "slow" {
		delay, err := time.ParseDuration(words[1])
		faults.DelayMS = int(delay.Milliseconds())
		return errors.Wrap(err, "delay")
	}
	n, err := strconv.Atoi(words[1])
	if err != nil {
		return errors.Wrap(err, "amount")
	}
	switch words[0] {
	case "lose-answers":
		faults.LoseEvery = n
	case "retain":
		faults.Retain = n
	case "limit":
		faults.AppendsPerSecond = float64(n)
	default:
		return errors.Newf("unknown fault %q", words[0])
	}
	return nil
}

// cmdHostList sets the host list's faults: hostlist [flags].
func cmdHostList(_ *testscript.TestScript, r *run, args []string) error {
	var faults standin.HostsFaults
	flags := flag.NewFlagSet("hostlist", flag.ContinueOnError)
	lag := flags.Duration("lag", 0, "")
	flags.BoolVar(&faults.Frozen, "frozen", false, "")
	flags.BoolVar(&faults.Down, "down", false, "")
	if err := parseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	if r.hostList == nil {
		return errors.New("the deployment has not been started")
	}
	faults.LagMS = int(lag.Milliseconds())
	return setFaults(r.hostList.ready, faults)
}
