// Package bench replays traces through the decision code in virtual time and compares policies. It drives route.Table,
// admit.Fair, role.Planner and controller.Controller as an entry instance does; only the engines are a model, at the
// interface: queues, batches and prefix caches with the times of a typical accelerator. There is no network.
package bench
