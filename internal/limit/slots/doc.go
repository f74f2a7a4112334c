// Package slots schedules the attempts that a VM sends to a backend server.
//
// A Scheduler is a state machine without input or output of its own: Step takes
// an event and returns the actions to carry out. It tracks the attempts in
// flight at one server and those that are queued. It sends no more at once than
// the slots that the VM may use, fewer while the server is cold or sheds load,
// orders queued attempts fairly between teams with package fairq, and refuses
// those that can no longer finish in time.
//
// A server in need names the rate that it takes from all VMs. The Scheduler then
// spaces its attempts, and refuses those that would wait beyond their deadline.
//
// A server is cold under a new incarnation, when it has become slow or when its
// failure domain returns to service, until enough attempts have succeeded. After
// a closed or failed connection, a warm server is probed with few attempts until
// one shows that its incarnation is unchanged.
//
// Package lease tracks the slots that VMs lease to each other, and package owner
// runs the Scheduler and carries out its actions.
package slots
