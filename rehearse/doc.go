// Package rehearse runs scenarios against real controllers: processes of the program itself, with a
// fake.Fleet around them and an invariant.Checker that checks the rules. scenario.go has the
// scenarios and their parameters, start.go starts the controllers, run.go has the main loop,
// faults.go injects faults into controllers, backends.go into backends, report.go fills the report.
package rehearse
