package main

// cases holds the function that plays each case, by name.
var cases = map[string]func(*world, bool){"endless-heads": endlessHeads, "refused-after-run": refusedAfterRun, "evacuated-service": evacuatedService, "silent-while-leaving": silentWhileLeaving, "rolling-restart": rollingRestart}
