// Package rehearse plays scenarios against real controllers: processes of the program itself, with a fake.Fleet around
// them and an invariant.Checker as the judge. scenario.go has what is played, start.go how controllers are started, run.go
// the loop, faults.go the faults of controllers, backends.go those of backends, report.go what is shown.
package rehearse
