package chaos

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hatchproxy/agent"
	"hatchproxy/agent/clusterstate"
	"hatchproxy/internal/control"
)

const (
	// firstCommitTimeout bounds the time that the agents take to commit their first command, also on a busy host.
	firstCommitTimeout = 30 * time.Second
	// settleTimeout bounds the wait for the agents to settle. It is longer than any bound that a record is checked against.
	settleTimeout     = 40 * time.Second
	agentPollInterval = 40 * time.Millisecond
	commandInterval   = 40 * time.Millisecond
	// instancePollInterval is short enough to see each order, and so long that it is far below the rate that a control API can serve.
	instancePollInterval = 200 * time.Millisecond
	// commandTimeout is how long a client waits for an answer: a command forwarded to a leader that is cut off gets none for long.
	commandTimeout = time.Second
	// commandsPerRepeat is how often a client submits a command a second time, although it was answered: each time after this many
	// commands. The answer must be the same number, so that a repetition reads the log.
	commandsPerRepeat = 8
)

// Recorder records what agents and instances report, which commands are submitted and which faults are injected, until Finish.
type Recorder struct {
	cluster   *Cluster
	startedAt time.Time
	mu        sync.Mutex
	record    Record
	done      chan struct{} // closed by Finish
	watchers  sync.WaitGroup
}

// StartRecording starts to poll all agents and instances. Polls bypass the links.
func (c *Cluster) StartRecording(ctx context.Context) *Recorder {
	r := &Recorder{cluster: c, startedAt: time.Now(), record: Record{AgentCount: len(c.names)}, done: make(chan struct{})}
	repeat := func(interval time.Duration, poll func()) {
		r.watchers.Go(func() {
			for {
				select {
				case <-r.done:
					return
				case <-time.After(interval):
					poll()
				}
			}
		})
	}
	for machine := range c.names {
		repeat(agentPollInterval, func() {
			if report, err := r.pollAgent(ctx, machine); err == nil { // a crashed or paused agent gives no report
				r.update(func(record *Record) { record.AgentReports = append(record.AgentReports, report) })
			}
		})
		if c.InstanceConfigs == nil {
			continue
		}
		for _, i := range c.InstanceConfigs(machine) {
			client := control.NewClient(i.ControlAddress)
			repeat(instancePollInterval, func() {
				if report, err := r.pollInstance(ctx, client, machine, i.Name); err == nil {
					r.update(func(record *Record) { record.InstanceReports = append(record.InstanceReports, report) })
				}
			})
		}
	}
	return r
}

// update calls change with the record while no other goroutine uses it.
func (r *Recorder) update(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// Submit submits a command to an agent and records the outcome. It returns the command's number in the log, or an error if the agent
// did not confirm within the timeout that the command was committed; it may be committed all the same.
func (r *Recorder) Submit(ctx context.Context, machine int, c clusterstate.Command, timeout time.Duration) (uint64, error) {
	submission := Submission{ID: c.ID, Agent: machine, SubmittedAt: time.Since(r.startedAt)}
	err := r.cluster.callAgent(ctx, machine, timeout, func(ctx context.Context, client *agent.Client) (err error) {
		submission.Number, err = client.Submit(ctx, c)
		return err
	})
	if err != nil {
		submission.Number = 0
	}
	submission.EndedAt = time.Since(r.startedAt)
	r.update(func(record *Record) { record.Submissions = append(record.Submissions, submission) })
	return submission.Number, err
}

// InjectFault causes a fault now and records it. It returns when the fault has ended.
func (r *Recorder) InjectFault(ctx context.Context, f Fault) error {
	f.At = time.Since(r.startedAt)
	if f.Target < 0 {
		f.Target = r.resolveTarget(f.Target)
	}
	r.update(func(record *Record) { record.Faults = append(record.Faults, f) })
	err := r.cluster.injectFault(ctx, f)
	r.update(func(record *Record) { record.LastFaultEnd = time.Since(r.startedAt) })
	return err
}

// resolveTarget returns the machine whose agent was last reported as leader (TargetLeader) or as holder of any duty (TargetHolder);
// 0 if there was none.
func (r *Recorder) resolveTarget(target int) (machine int) {
	r.update(func(record *Record) {
		for _, report := range record.AgentReports {
			if target == TargetLeader && report.IsLeader || target == TargetHolder && len(report.HeldDuties) > 0 {
				machine = report.Agent
			}
		}
	})
	return machine
}

// AwaitSettled waits until the agents have committed a new command and all agents and instances have applied it, and records how long
// after the end of the last fault that was; a time that is not reached within settleTimeout stays 0. The command ends a drain of the
// given server, which should not be draining, so that it has no effect.
func (r *Recorder) AwaitSettled(ctx context.Context, server string) {
	c, attempts, number := r.cluster, 0, uint64(0)
	for machine := range c.names {
		c.ResumeMachine(machine) // overlapping faults may have paused what another fault started
	}
	end := time.Now().Add(settleTimeout)
	var lastFaultEnd time.Duration
	r.update(func(record *Record) {
		if len(record.Faults) == 0 {
			record.LastFaultEnd = time.Since(r.startedAt)
		}
		lastFaultEnd = record.LastFaultEnd
	})
	restartExited := func() { // as a service manager restarts agents that have exited
		for machine := range c.names {
			_ = c.StartAgent(machine)
		}
	}
	err := waitUntil(ctx, settleTimeout, func() (ok bool) {
		restartExited()
		var err error
		number, err = r.Submit(ctx, attempts%len(c.names), clusterstate.Command{ID: fmt.Sprint("last", attempts), Verb: clusterstate.Undrain, Server: server}, commandTimeout)
		attempts++
		return err == nil
	})
	if err == nil {
		err = waitUntil(ctx, time.Until(end), func() bool {
			restartExited()
			for machine := range c.names {
				if report, err := r.pollAgent(ctx, machine); err != nil || report.AppliedIndex < number {
					return false
				}
			}
			return true
		})
	}
	if err != nil {
		return
	}
	agentSettleTime := time.Since(r.startedAt) - lastFaultEnd
	err = waitUntil(ctx, time.Until(end), func() bool {
		for machine := range c.names {
			for _, i := range c.instanceConfigs(machine) {
				client := control.NewClient(i.ControlAddress)
				report, err := r.pollInstance(ctx, client, machine, i.Name)
				client.Close()
				if err != nil || report.Orders[server].Number < number {
					return false
				}
			}
		}
		return true
	})
	r.update(func(record *Record) {
		record.AgentSettleTime = agentSettleTime
		if err == nil && c.InstanceConfigs != nil {
			record.InstanceSettleTime = time.Since(r.startedAt) - lastFaultEnd
		}
	})
}

// Finish stops the polls and returns the record.
func (r *Recorder) Finish(ctx context.Context) Record {
	close(r.done)
	r.watchers.Wait()
	// Polls once more until the last committed commands are seen: a record that ends before them would make them look lost.
	_ = waitUntil(ctx, 2*time.Second, func() bool { return r.record.AgentSettleTime == 0 || r.pollAllAgents(ctx) })
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	for _, exit := range r.cluster.unexpectedExits {
		r.record.UnexpectedExits = append(r.record.UnexpectedExits, RecordedExit{exit.Agent, exit.At.Sub(r.startedAt)})
	}
	r.record.HasInstances = r.cluster.InstanceConfigs != nil
	return r.record
}

// pollAllAgents records a report of each agent. It returns true if all agents answered and have applied all commands that were
// answered with a number.
func (r *Recorder) pollAllAgents(ctx context.Context) bool {
	var last uint64
	for _, submission := range r.record.Submissions {
		last = max(last, submission.Number)
	}
	all := true
	for machine := range r.cluster.names {
		report, err := r.pollAgent(ctx, machine)
		if err != nil {
			return false
		}
		r.record.AgentReports = append(r.record.AgentReports, report)
		all = all && report.AppliedIndex >= last
	}
	return all
}

// pollAgent asks an agent for its view.
func (r *Recorder) pollAgent(ctx context.Context, machine int) (AgentReport, error) {
	report := AgentReport{Agent: machine, AskedAt: time.Since(r.startedAt), RecentCommands: map[uint64]string{}}
	err := r.cluster.callAgent(ctx, machine, time.Second, func(ctx context.Context, client *agent.Client) error {
		view, err := client.View(ctx)
		report.IsLeader, report.Term, report.AppliedIndex, report.HeldDuties = view.IsLeader, view.Term, view.AppliedIndex, view.HeldDuties
		for _, entry := range view.RecentCommands {
			report.RecentCommands[entry.Number] = entry.ID
		}
		return err
	})
	report.AnsweredAt = time.Since(r.startedAt)
	return report, err
}

// pollInstance asks an instance, not its agent, for its status.
func (r *Recorder) pollInstance(ctx context.Context, client *control.Client, machine int, name string) (InstanceReport, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	report := InstanceReport{Instance: name, Machine: machine, AskedAt: time.Since(r.startedAt), Orders: map[string]AppliedOrder{}}
	status, err := client.Status(ctx)
	if err != nil {
		return report, err
	}
	report.ProcessStartMicros, report.Term = status.StartedMicros, status.Term
	for _, order := range status.Orders {
		report.Orders[order.ServerUID] = AppliedOrder{order.Number, order.ID}
	}
	return report, nil
}

// RunSchedule starts the agents, injects the faults at their times while a client of each agent submits commands, waits until the
// agents have settled and returns the record. Errors are those of starting agents and injecting faults, not breaches.
func (c *Cluster) RunSchedule(ctx context.Context, faults []Fault) (Record, error) {
	for machine := range c.names {
		if err := c.StartAgent(machine); err != nil {
			return Record{}, err
		}
	}
	if err := c.AwaitFirstCommit(ctx); err != nil {
		return Record{}, err
	}
	r := c.StartRecording(ctx)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for machine := range c.names { // a client for each agent, so that an agent that does not answer delays no other client
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(commandInterval):
				}
				command := clusterstate.Command{ID: fmt.Sprintf("c%d-%d", machine, n), Verb: clusterstate.Drain, Server: fmt.Sprint("s", n%10)}
				if _, err := r.Submit(ctx, machine, command, commandTimeout); err != nil || n%commandsPerRepeat == 0 {
					_, _ = r.Submit(ctx, (machine+1)%len(c.names), command, commandTimeout) // the same ID at another agent gives the outcome, if it is known there
				}
			}
		})
	}
	faultErrors := make([]error, len(faults))
	var injections sync.WaitGroup
	for i, f := range faults {
		injections.Go(func() {
			select {
			case <-time.After(f.At):
				faultErrors[i] = r.InjectFault(ctx, f)
			case <-ctx.Done():
			}
		})
	}
	injections.Wait()
	r.AwaitSettled(ctx, "s-last")
	close(stop)
	clients.Wait()
	return r.Finish(ctx), errors.Join(faultErrors...)
}

// AwaitFirstCommit waits until the agents have committed their first command. It returns an error after firstAgreementTimeout.
func (c *Cluster) AwaitFirstCommit(ctx context.Context) error {
	attempts := 0
	err := waitUntil(ctx, firstCommitTimeout, func() bool {
		attempts++
		return c.callAgent(ctx, attempts%len(c.names), callTimeout, func(ctx context.Context, client *agent.Client) error {
			_, err := client.Submit(ctx, clusterstate.Command{ID: "first", Verb: clusterstate.Undrain, Server: "s-first"})
			return err
		}) == nil
	})
	if err != nil {
		return fmt.Errorf("the agents did not commit a first command: %w", err)
	}
	return nil
}

// Shorten returns the faults of a failing schedule without those that it does not need in order to fail. It tries to remove each fault in
// turn, and leaves it out if fails, which runs a schedule, returns true without it. At least one fault is left.
func Shorten(faults []Fault, fails func([]Fault) bool) []Fault {
	for i := 0; i < len(faults); {
		fewer := append(append([]Fault{}, faults[:i]...), faults[i+1:]...)
		if len(fewer) > 0 && fails(fewer) {
			faults = fewer
		} else {
			i++
		}
	}
	return faults
}
