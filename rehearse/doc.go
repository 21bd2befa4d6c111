// Package rehearse runs scenarios against real controllers, which are processes of the program
// itself. A fake.Fleet simulates the proxies, backends and discovery around the controllers, and an
// invariant.Checker checks the rules. scenario.go has the scenarios and their parameters, start.go
// starts the controllers, run.go has the main loop, faults.go injects faults into controllers,
// backends.go injects faults into backends, and report.go fills the report.
package rehearse
