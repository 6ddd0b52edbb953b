package sycamorehill.model.serving;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;

/**
 * Event that an entry node's logic receives from its runtime.
 */
public sealed interface EntryEvent {

	/**
	 * The store answered a read of the configurations.
	 *
	 * @param configuration the newest configuration that this node has read
	 * @param revision the store's revision up to which it is the newest
	 */
	record ConfigurationRead(Configuration configuration, long revision) implements EntryEvent {
	}

	/**
	 * A configuration was received from another node. It doesn't prove that the store is
	 * reachable.
	 *
	 * @param configuration the configuration
	 * @param source the node that sent it
	 */
	record ConfigurationReceived(Configuration configuration, String source) implements EntryEvent {
	}

	/**
	 * The complete directory of targets was read.
	 *
	 * @param entries all readable entries
	 * @param revision the store's revision of the list
	 */
	record TargetsListed(List<TargetEntry> entries, long revision) implements EntryEvent {
	}

	/**
	 * Changes of the directory were read.
	 *
	 * @param changes the changes in their order; empty if there were none
	 * @param since the store's revision after which changes were requested
	 * @param revision the store's revision after the changes
	 */
	record TargetsChanged(List<TargetChange> changes, long since, long revision) implements EntryEvent {
	}

	/** The store did not answer a read of the directory. */
	record DirectoryUnreachable() implements EntryEvent {
	}

	/**
	 * All evacuations were read.
	 *
	 * @param dataCentres the names of the objects, which may be no data centres
	 * @param revision the store's revision of the list
	 */
	record EvacuationsListed(List<DataCentreName> dataCentres, long revision) implements EntryEvent {
	}

	/**
	 * Changes of the evacuations were read.
	 *
	 * @param changes the changes in their order; empty if there were none
	 * @param revision the store's revision after the changes
	 */
	record EvacuationsChanged(List<EvacuationChange> changes, long revision) implements EntryEvent {
	}

	/** The store did not answer a read of the evacuations. */
	record EvacuationsUnreachable() implements EntryEvent {
	}

	/**
	 * A caller's request was read completely.
	 *
	 * @param request the request
	 */
	record RequestArrived(CallerRequest request) implements EntryEvent {
	}

	/**
	 * A connection to a target was established.
	 *
	 * @param target the target
	 */
	record TargetConnected(TargetName target) implements EntryEvent {
	}

	/**
	 * The first event of an answer was forwarded to the caller.
	 *
	 * @param number the request
	 */
	record AnswerStarted(long number) implements EntryEvent {
	}

	/**
	 * An event without a number was forwarded to the caller. The answer can't be resumed
	 * elsewhere, where the event would come once more.
	 *
	 * @param number the request
	 */
	record AnswerNotResumable(long number) implements EntryEvent {
	}

	/**
	 * One of several attempts of a request went on with the answer. The runtime has
	 * already cancelled the others.
	 *
	 * @param number the request
	 * @param attempt number of the attempt, starting at 1
	 */
	record AttemptPrevailed(long number, int attempt) implements EntryEvent {
	}

	/**
	 * An attempt at a target ended.
	 *
	 * @param number the request
	 * @param attempt number of the attempt, starting at 1
	 * @param end result of the attempt
	 */
	record AttemptEnded(long number, int attempt, AttemptEnd end) implements EntryEvent {
	}

	/**
	 * A connection that was opened to test the path to a target failed.
	 *
	 * @param target the target
	 */
	record TargetUnreached(TargetName target) implements EntryEvent {
	}

	/**
	 * Targets have sent nothing for a short time on streams that had started. Comes
	 * before the silences that are reported at the same moment.
	 *
	 * @param targets the targets
	 * @param all whether these are all targets with such streams, and several
	 */
	record TargetsStalled(Set<TargetName> targets, boolean all) implements EntryEvent {

		/**
		 * Copies the targets.
		 */
		public TargetsStalled {
			targets = Set.copyOf(targets);
		}

	}

	/**
	 * A silence of a target that was reported before still lasts.
	 *
	 * @param target the target
	 * @param answersStarted whether any of the answers had started
	 */
	record TargetStillSilent(TargetName target, boolean answersStarted) implements EntryEvent {
	}

	/**
	 * A target whose silence was reported has sent something again.
	 *
	 * @param target the target
	 */
	record TargetResumed(TargetName target) implements EntryEvent {
	}

	/**
	 * Nothing was received for long on all streams that had started, whatever their
	 * target.
	 */
	record AllTargetsSilent() implements EntryEvent {
	}

	/**
	 * Another node asks this one to send a request to a target.
	 *
	 * @param number number of the request within this process
	 * @param request the request
	 */
	record ProxiedRequestArrived(long number, ProxiedRequest request) implements EntryEvent {
	}

	/**
	 * The connection of another node's request was closed. The runtime has already
	 * cancelled the attempt.
	 *
	 * @param number the request
	 */
	record OriginDisconnected(long number) implements EntryEvent {
	}

	/**
	 * The target of an attempt through another node has stopped sending to that node.
	 *
	 * @param number the request
	 * @param attempt number of the attempt, starting at 1
	 * @param target the target
	 */
	record ProxiedAttemptStalled(long number, int attempt, TargetName target) implements EntryEvent {
	}

	/**
	 * An attempt through another node ended.
	 *
	 * @param number the request
	 * @param attempt number of the attempt, starting at 1
	 * @param target the target that the other node selected; empty if it selected none or
	 * has not reported it
	 * @param end result of the attempt
	 */
	record ProxiedAttemptEnded(long number, int attempt, Optional<TargetName> target,
			AttemptEnd end) implements EntryEvent {
	}

	/**
	 * All streams that another node forwards to this one have been stalled for long.
	 *
	 * @param node name of the node
	 */
	record ProxySilent(String node) implements EntryEvent {
	}

	/**
	 * The caller's connection was closed. The runtime has already cancelled the request's
	 * attempts.
	 *
	 * @param number the request
	 * @param cutByNode whether this node closed it rather than the caller
	 */
	record CallerDisconnected(long number, boolean cutByNode) implements EntryEvent {
	}

	/**
	 * A request reached its time limit.
	 *
	 * @param number the request
	 */
	record TimedOut(long number) implements EntryEvent {
	}

	/**
	 * The head of an answer contained the target's status.
	 *
	 * @param number the answered request
	 * @param target the target
	 * @param report the target's status
	 */
	record TargetReported(long number, TargetName target, TargetReport report) implements EntryEvent {
	}

	/**
	 * All answers that this process awaits from a target have been stalled for long.
	 * Answers that had started show that the target or a member of its group has failed;
	 * requests that wait for their first event may only be queued there.
	 *
	 * @param target the target
	 * @param answersStarted whether any of the answers had started
	 */
	record TargetSilent(TargetName target, boolean answersStarted) implements EntryEvent {
	}

	/**
	 * A command to an engine was answered or timed out.
	 *
	 * @param target the engine
	 * @param order the command
	 * @param answer the result
	 */
	record CommandAnswered(TargetName target, EngineCommandRequest order,
			EngineCommandAnswer answer) implements EntryEvent {
	}

	/**
	 * An engine's report was received.
	 *
	 * @param target the engine
	 * @param report the report
	 */
	record ReportRead(TargetName target, EngineReport report) implements EntryEvent {
	}

	/**
	 * An engine's report could not be read.
	 *
	 * @param target the engine
	 * @param answer the result of the attempt to read it
	 */
	record ReportFailed(TargetName target, EngineCommandAnswer answer) implements EntryEvent {
	}

	/**
	 * The store answered a call about the lease.
	 *
	 * @param answer the answer
	 */
	record LeaseAnswered(LeaseAnswer answer) implements EntryEvent {
	}

	/**
	 * All entry nodes were read from the store, possibly from a copy that is seconds old.
	 *
	 * @param nodes the nodes
	 */
	record NodesListed(List<NodeRecord> nodes) implements EntryEvent {
	}

	/**
	 * A message of another node was received.
	 *
	 * @param message the message
	 */
	record MessageReceived(NodeMessage message) implements EntryEvent {
	}

	/**
	 * The settings were reloaded.
	 *
	 * @param settings the settings
	 */
	record SettingsRead(EntrySettings settings) implements EntryEvent {
	}

	/** The process was asked to stop. */
	record StopRequested() implements EntryEvent {
	}

	/** A regular tick, which lets the logic check its timeouts. */
	record Ticked() implements EntryEvent {
	}

}
