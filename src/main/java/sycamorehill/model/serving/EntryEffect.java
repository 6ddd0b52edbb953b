package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.log.LogLine;

/**
 * Action that the logic of an entry node requests from its runtime.
 */
public sealed interface EntryEffect {

	/**
	 * Limits the time of a request, counted from its first byte.
	 *
	 * @param number the request
	 * @param timeout maximum time of the request
	 */
	record LimitRequestTime(long number, Duration timeout) implements EntryEffect {
	}

	/**
	 * Sends a request to a target.
	 *
	 * @param number the request
	 * @param attempt number of the attempt, starting at 1
	 * @param target the target
	 * @param startMillis start time of the target's process by its own wall clock; 0 if
	 * unknown
	 * @param maximumConnections number of connections that the target accepts from all
	 * callers together
	 * @param handling how the answer is forwarded
	 * @param workspace the caller's workspace
	 * @param priority priority among the target's requests, 0 is the most urgent
	 */
	record StartAttempt(long number, int attempt, TargetAddress target, long startMillis, int maximumConnections,
			Handling handling, Optional<WorkspaceName> workspace, int priority) implements EntryEffect {
	}

	/**
	 * Sends a request through another node.
	 *
	 * @param number the request
	 * @param attempt number of the attempt, starting at 1
	 * @param node the other node
	 * @param request what the other node needs to know
	 */
	record StartProxiedAttempt(long number, int attempt, ProxyNode node,
			ProxiedRequest request) implements EntryEffect {
	}

	/**
	 * A node through which requests are sent.
	 *
	 * @param name the node's name
	 * @param address where it accepts such requests
	 */
	record ProxyNode(String name, Address address) {
	}

	/**
	 * Reports to the origin of a request that its target has stopped sending. The attempt
	 * goes on.
	 *
	 * @param number the request
	 * @param target the target of the attempt
	 */
	record ReportProxiedStall(long number, TargetName target) implements EntryEffect {
	}

	/**
	 * Reports to the origin of a request how its attempt ended, after the answer's bytes.
	 *
	 * @param number the request
	 * @param target the target of the attempt; empty if none was selected
	 * @param end result of the attempt
	 */
	record EndProxiedRequest(long number, Optional<TargetName> target, AttemptEnd end) implements EntryEffect {
	}

	/**
	 * Opens a connection to each of some targets, to find out whether they are reached.
	 * The connections that succeed are kept for requests.
	 *
	 * @param targets the targets
	 */
	record ProbeTargets(List<TargetAddress> targets) implements EntryEffect {

		/**
		 * Copies the targets.
		 */
		public ProbeTargets {
			targets = List.copyOf(targets);
		}

	}

	/**
	 * Reports the targets whose streams are stalled now, without waiting for as long as
	 * with a working path.
	 */
	record ReportStalledTargets() implements EntryEffect {
	}

	/**
	 * Defines how an attempt's answer is forwarded.
	 *
	 * @param kind which repetitions of the request are safe
	 * @param holdFailures whether a failure of the target is held back because another
	 * attempt may follow
	 */
	record Handling(RequestKind kind, boolean holdFailures) {
	}

	/**
	 * Cancels a running attempt. Nothing more of its answer reaches the caller.
	 *
	 * @param number the request
	 * @param attempt number of the attempt
	 */
	record CancelAttempt(long number, int attempt) implements EntryEffect {
	}

	/**
	 * Sends the caller a final answer of this node.
	 *
	 * @param number the request
	 * @param status HTTP status
	 * @param detail explanation for the caller
	 * @param retryAfter time after which the caller may retry, if the request did not run
	 */
	record Answer(long number, int status, String detail, Optional<Duration> retryAfter) implements EntryEffect {
	}

	/**
	 * Sends the caller the failure of the target that was held back.
	 *
	 * @param number the request
	 */
	record ReturnHeldFailure(long number) implements EntryEffect {
	}

	/**
	 * Aborts a partly delivered answer in a way that the caller can't take it for
	 * complete.
	 *
	 * @param number the request
	 */
	record AbortAnswer(long number) implements EntryEffect {
	}

	/**
	 * Sends a command to an engine.
	 *
	 * @param target the engine
	 * @param command the command
	 * @param acceptedCommands expected count of accepted commands; the engine refuses the
	 * command if its own count differs
	 */
	record SendCommand(TargetAddress target, EngineCommandRequest command,
			long acceptedCommands) implements EntryEffect {

		/** Value of {@code acceptedCommands} that matches any count. */
		public static final long ANY_COUNT = -1;

	}

	/**
	 * Requests an engine's report.
	 *
	 * @param target the engine
	 */
	record ReadReport(TargetAddress target) implements EntryEffect {
	}

	/** Reads the lease from a copy that may be seconds old. */
	record ReadLease() implements EntryEffect {
	}

	/**
	 * Creates the lease.
	 *
	 * @param holder the process that holds it
	 */
	record CreateLease(String holder) implements EntryEffect {
	}

	/**
	 * Replaces the lease if its revision is unchanged.
	 *
	 * @param lease the new holder and term, with the revision that they replace
	 */
	record ReplaceLease(Lease lease) implements EntryEffect {
	}

	/**
	 * Sets the limits on callers' requests.
	 *
	 * @param limits the limits
	 */
	record SetCallerLimits(CallerLimits limits) implements EntryEffect {
	}

	/**
	 * Sets the workspaces by which the callers of requests are told apart.
	 *
	 * @param workspacesByApiKey the workspace of each API key
	 */
	record SetWorkspaces(Map<String, Workspace> workspacesByApiKey) implements EntryEffect {
	}

	/**
	 * Sends other nodes the text of the configuration in effect.
	 *
	 * @param nodes addresses where these nodes receive messages
	 * @param version version of the configuration
	 */
	record SendConfiguration(List<Address> nodes, long version) implements EntryEffect {
	}

	/**
	 * Parses a configuration that another node has sent.
	 *
	 * @param sender the node that sent it
	 * @param version its version
	 * @param text text of the configuration
	 */
	record ParseConfiguration(String sender, long version, String text) implements EntryEffect {
	}

	/**
	 * Reads the changes of the configuration from the store now.
	 */
	record ReadConfiguration() implements EntryEffect {
	}

	/**
	 * Reads the changes of targets from the store now.
	 */
	record ReadTargetChanges() implements EntryEffect {
	}

	/**
	 * Continues reading changes of targets after a revision, because another node has
	 * sent the changes up to it.
	 *
	 * @param revision the revision
	 */
	record AdvanceTargetRevision(long revision) implements EntryEffect {
	}

	/**
	 * Continues reading evacuations after a revision up to which another node has
	 * reported them.
	 *
	 * @param revision the revision
	 */
	record AdvanceEvacuationRevision(long revision) implements EntryEffect {
	}

	/**
	 * Continues reading changes of the configuration after a revision, because the
	 * configuration in effect is the newest one up to it.
	 *
	 * @param revision the revision
	 */
	record AdvanceConfigurationRevision(long revision) implements EntryEffect {
	}

	/**
	 * Reports to the load balancer whether this node accepts new connections.
	 *
	 * @param ready whether it accepts any
	 */
	record SetReadiness(boolean ready) implements EntryEffect {
	}

	/**
	 * Closes the pooled connections to a target.
	 *
	 * @param target the target
	 */
	record CloseTargetConnections(TargetAddress target) implements EntryEffect {
	}

	/**
	 * Sends a message to other nodes, without guaranteed delivery.
	 *
	 * @param nodes addresses where the nodes receive messages
	 * @param message the message
	 */
	record Send(List<Address> nodes, NodeMessage message) implements EntryEffect {
	}

	/**
	 * Sends a message to all other nodes, without guaranteed delivery.
	 *
	 * @param message the message
	 */
	record Broadcast(NodeMessage message) implements EntryEffect {
	}

	/**
	 * Records that a request has its final answer or that its caller has disconnected.
	 *
	 * @param service the requested service
	 * @param outcome outcome of the request
	 * @param elapsed time since the request arrived
	 * @param timeToFirstAnswer time to the first event of its stream
	 */
	record Finished(ServiceName service, Outcome outcome, Duration elapsed,
			Optional<Duration> timeToFirstAnswer) implements EntryEffect {

		/** Outcome of a request. */
		public enum Outcome {

			/** The caller received the target's complete answer. */
			SERVED,

			/** The request was refused and did not run. */
			REFUSED,

			/** The request may have run, but failed or its answer is incomplete. */
			FAILED,

			/** The caller disconnected before the answer was complete. */
			ABANDONED

		}

	}

	/**
	 * Records that the retry budget of a service has allowed or refused a retry.
	 *
	 * @param service the service
	 * @param allowed whether the retry may be sent
	 */
	record RetryDecided(ServiceName service, boolean allowed) implements EntryEffect {
	}

	/**
	 * Records that a request was refused while its workspace was over its fair share.
	 *
	 * @param workspace the workspace
	 */
	record RefusedOverShare(WorkspaceName workspace) implements EntryEffect {
	}

	/**
	 * Removes the metrics of workspaces that the configuration no longer contains.
	 *
	 * @param workspaces the workspaces that it contains
	 */
	record RetainWorkspaceMetrics(Set<WorkspaceName> workspaces) implements EntryEffect {

		/**
		 * Copies the workspaces.
		 */
		public RetainWorkspaceMetrics {
			workspaces = Set.copyOf(workspaces);
		}

	}

	/**
	 * Writes a log line.
	 *
	 * @param line the line
	 */
	record Log(LogLine line) implements EntryEffect {
	}

}
