package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.log.LogLine;

/**
 * What the decisions of an entry node want done.
 */
public sealed interface EntryEffect {

	/**
	 * Bounds the time of a request, from its first byte.
	 *
	 * @param number the request
	 * @param timeout the bound
	 */
	record LimitRequestTime(long number, Duration timeout) implements EntryEffect {
	}

	/**
	 * Sends a request to a target.
	 *
	 * @param number the request
	 * @param attempt the attempt's number, from 1
	 * @param target where to
	 * @param maximumConnections connections that the target accepts from all callers
	 * @param handling how the answer is passed on
	 * @param workspace the caller's workspace
	 * @param priority rank among the target's requests, 0 is the most urgent
	 */
	record StartAttempt(long number, int attempt, TargetAddress target, int maximumConnections, Handling handling,
			Optional<WorkspaceName> workspace, int priority) implements EntryEffect {
	}

	/**
	 * How an attempt's answer is passed on.
	 *
	 * @param kind what may be repeated
	 * @param holdFailures whether a target's failure is held back, because another
	 * attempt may follow
	 */
	record Handling(RequestKind kind, boolean holdFailures) {
	}

	/**
	 * Cancels the attempt that runs; nothing more of it reaches the caller.
	 *
	 * @param number the request
	 * @param attempt the attempt's number
	 */
	record CancelAttempt(long number, int attempt) implements EntryEffect {
	}

	/**
	 * Gives the caller a final answer of our own.
	 *
	 * @param number the request
	 * @param status the HTTP status
	 * @param detail why, for the caller
	 * @param retryAfter when to come back, if the request did not run
	 */
	record Answer(long number, int status, String detail, Optional<Duration> retryAfter) implements EntryEffect {
	}

	/**
	 * Gives the caller the failure of the target that was held back.
	 *
	 * @param number the request
	 */
	record ReturnHeldFailure(long number) implements EntryEffect {
	}

	/**
	 * Ends an answer that the caller has got part of, so that it can't look whole.
	 *
	 * @param number the request
	 */
	record AbortAnswer(long number) implements EntryEffect {
	}

	/**
	 * Sends an order to an engine.
	 *
	 * @param target the engine
	 * @param command the order
	 * @param acceptedCommands the engine's count of orders; it refuses under another
	 * count
	 */
	record SendCommand(TargetAddress target, EngineCommand command, long acceptedCommands) implements EntryEffect {

		/** The order is good under any count. */
		public static final long ANY_COUNT = -1;

	}

	/**
	 * Asks an engine for its state.
	 *
	 * @param target the engine
	 */
	record ReadReport(TargetAddress target) implements EntryEffect {
	}

	/** Reads the lease, from a copy that may be seconds old. */
	record ReadLease() implements EntryEffect {
	}

	/**
	 * Creates the lease.
	 *
	 * @param holder who holds it
	 */
	record CreateLease(String holder) implements EntryEffect {
	}

	/**
	 * Replaces the lease if its revision is still the one named.
	 *
	 * @param lease the new holder and term, and the revision that it replaces
	 */
	record ReplaceLease(Lease lease) implements EntryEffect {
	}

	/**
	 * Bounds what callers may send from now on.
	 *
	 * @param limits the bounds
	 */
	record SetCallerLimits(CallerLimits limits) implements EntryEffect {
	}

	/**
	 * Tells other nodes the text of the configuration in force.
	 *
	 * @param nodes where these nodes take messages
	 * @param version the configuration's version
	 */
	record SendConfiguration(List<Address> nodes, long version) implements EntryEffect {
	}

	/**
	 * Reads a configuration from its text, which another node has told.
	 *
	 * @param text the text
	 */
	record ParseConfiguration(String text) implements EntryEffect {
	}

	/**
	 * Reads a configuration that another node has told of.
	 *
	 * @param version its version
	 */
	record ReadConfiguration(long version) implements EntryEffect {
	}

	/**
	 * Reads the changes of targets now.
	 */
	record ReadTargetChanges() implements EntryEffect {
	}

	/**
	 * Goes on reading changes of targets after a revision: another node has told of those
	 * before it.
	 *
	 * @param revision the revision
	 */
	record AdvanceTargetRevision(long revision) implements EntryEffect {
	}

	/**
	 * Tells the balancer whether to send new connections.
	 *
	 * @param ready whether to send any
	 */
	record SetReadiness(boolean ready) implements EntryEffect {
	}

	/**
	 * Closes the connections kept to a target.
	 *
	 * @param target the target
	 */
	record CloseTargetConnections(TargetAddress target) implements EntryEffect {
	}

	/**
	 * Tells other nodes something; it may be lost.
	 *
	 * @param nodes where the nodes take messages
	 * @param message what to tell
	 */
	record Send(List<Address> nodes, NodeMessage message) implements EntryEffect {
	}

	/**
	 * Tells all other nodes something; it may be lost.
	 *
	 * @param message what to tell
	 */
	record Broadcast(NodeMessage message) implements EntryEffect {
	}

	/**
	 * A request has its final answer, or its caller left.
	 *
	 * @param service the service asked for
	 * @param outcome what became of it
	 * @param elapsed time since it came
	 * @param timeToFirstAnswer time to the first event of its stream
	 */
	record Finished(ServiceName service, Outcome outcome, Duration elapsed,
			Optional<Duration> timeToFirstAnswer) implements EntryEffect {

		/** What became of a request. */
		public enum Outcome {

			/** The target's whole answer was delivered. */
			SERVED,

			/** It was refused and has not run. */
			REFUSED,

			/** It has a failure or no whole answer, and may have run. */
			FAILED,

			/** The caller left before the answer. */
			ABANDONED

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
