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

// controlTimeout limits one request to a stand-in's control path.
const controlTimeout = 5 * time.Second

var controlClient = &http.Client{Timeout: controlTimeout}

// setFaults sets the faults of the stand-in at addr.
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

// logFaults queries the log for its current faults.
func (r *run) logFaults() (standin.LogFaults, error) {
	var faults standin.LogFaults
	resp, err := controlClient.Get("http://" + r.log.readyText + standin.PathFaults)
	if err != nil {
		return faults, errors.Wrap(err, "get faults")
	}
	defer resp.Body.Close()
	return faults, errors.Wrap(json.NewDecoder(resp.Body).Decode(&faults), "decode faults")
}

// cmdLog changes one of the log's faults and keeps the others:
// log down|hang|up|slow DURATION|lose-answers N|retain N|limit N.
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
	return setFaults(r.log.readyText, faults)
}

// changeLogFaults applies the arguments of a log command to faults.
func changeLogFaults(faults *standin.LogFaults, args []string) error {
	if len(args) == 1 {
		switch args[0] {
		case "up":
			faults.Down = standin.DownNo
		case "down":
			faults.Down = standin.DownRefuse
		case "hang":
			faults.Down = standin.DownHang
		default:
			return errors.Newf("unknown fault %q", args[0])
		}
		return nil
	}
	if len(args) != 2 {
		return errors.New("want up, down, hang, or a fault and its value")
	}
	if args[0] == "slow" {
		delay, err := time.ParseDuration(args[1])
		faults.DelayMS = int(delay.Milliseconds())
		return errors.Wrap(err, "delay")
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return errors.Wrap(err, "amount")
	}
	switch args[0] {
	case "lose-answers":
		faults.LoseEvery = n
	case "retain":
		faults.Retain = n
	case "limit":
		faults.AppendsPerSecond = float64(n)
	default:
		return errors.Newf("unknown fault %q", args[0])
	}
	return nil
}

// cmdHostList replaces the host list's faults: hostlist [flags]. Faults without a
// flag are cleared.
func cmdHostList(_ *testscript.TestScript, r *run, args []string) error {
	var faults standin.HostListFaults
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
	return setFaults(r.hostList.readyText, faults)
}
