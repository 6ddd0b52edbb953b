package sycamorehill.model.serving;

import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.TargetName;

/**
 * What reaches the decisions of an entry node from outside.
 */
public sealed interface EntryEvent {

	/**
	 * The store answered what configuration there is.
	 *
	 * @param configuration the newest one that this node has read
	 */
	record ConfigurationRead(Configuration configuration) implements EntryEvent {
	}

	/**
	 * A configuration came from elsewhere than a call that follows the store: from
	 * another node, or from a copy.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationHeard(Configuration configuration) implements EntryEvent {
	}

	/**
	 * The whole directory of targets was read.
	 *
	 * @param entries all readable entries
	 * @param revision the store's revision of the list
	 */
	record TargetsListed(List<TargetEntry> entries, long revision) implements EntryEvent {
	}

	/**
	 * The changes of the directory were read.
	 *
	 * @param changes the changes in their order; empty if there were none
	 * @param since the store's revision after which they were asked for
	 * @param revision the store's revision that they lead to
	 */
	record TargetsChanged(List<TargetChange> changes, long since, long revision) implements EntryEvent {
	}

	/** The store did not answer a read of the directory. */
	record DirectoryNotReached() implements EntryEvent {
	}

	/**
	 * A caller's request was read whole.
	 *
	 * @param request the request
	 */
	record RequestArrived(CallerRequest request) implements EntryEvent {
	}

	/**
	 * The first event of an answer was passed on.
	 *
	 * @param number the request
	 */
	record AnswerBegun(long number) implements EntryEvent {
	}

	/**
	 * An attempt at a target ended.
	 *
	 * @param number the request
	 * @param attempt the attempt's number, from 1
	 * @param end how it ended
	 */
	record AttemptEnded(long number, int attempt, AttemptEnd end) implements EntryEvent {
	}

	/**
	 * The caller went away; attempts are cancelled already.
	 *
	 * @param number the request
	 */
	record CallerGone(long number) implements EntryEvent {
	}

	/**
	 * The request's time is over.
	 *
	 * @param number the request
	 */
	record TimedOut(long number) implements EntryEvent {
	}

	/**
	 * The head of a target's answer told how the target is.
	 *
	 * @param number the request that was answered
	 * @param target the target
	 * @param load its load; empty if it doesn't tell it
	 * @param limit what it takes from all nodes together; empty if it names no limit
	 */
	record TargetTold(long number, TargetName target, Optional<EngineLoad> load,
			Optional<RequestRate> limit) implements EntryEvent {
	}

	/**
	 * All answers that this process awaits from a target have paused for so long that it
	 * has surely lost a member, or is lost itself.
	 *
	 * @param target the target
	 */
	record TargetSilent(TargetName target) implements EntryEvent {
	}

	/**
	 * An order to an engine was answered, or wasn't in time.
	 *
	 * @param target the engine
	 * @param order the order
	 * @param answer the answer
	 */
	record OrderAnswered(TargetName target, EngineCommand order, EngineCommandAnswer answer) implements EntryEvent {
	}

	/**
	 * An engine told its state.
	 *
	 * @param target the engine
	 * @param report its state
	 */
	record ReportRead(TargetName target, EngineReport report) implements EntryEvent {
	}

	/**
	 * An engine's state could not be read.
	 *
	 * @param target the engine
	 * @param answer what was seen instead
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
	 * All entry nodes were read from the store, maybe from a copy that is seconds old.
	 *
	 * @param nodes the nodes
	 */
	record NodesListed(List<NodeRecord> nodes) implements EntryEvent {
	}

	/**
	 * Another node told something.
	 *
	 * @param message what it told
	 */
	record MessageHeard(NodeMessage message) implements EntryEvent {
	}

	/**
	 * The settings were read again.
	 *
	 * @param settings the settings
	 */
	record SettingsRead(EntrySettings settings) implements EntryEvent {
	}

	/** The process was told to stop. */
	record StopOrdered() implements EntryEvent {
	}

	/** Some time went by. */
	record Ticked() implements EntryEvent {
	}

}
