// Package bench replays traces through the decision code in virtual time and compares policies. It drives
// route.EngineTable, admit.FairAdmitter, role.Planner and controller.Controller as an entry instance does. Only the
// engines are simulated: their queues, batches and prefix caches, with the step times of a typical accelerator. Nothing
// is sent over a network.
package bench
