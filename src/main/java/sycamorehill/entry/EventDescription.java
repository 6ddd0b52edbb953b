package sycamorehill.entry;

import sycamorehill.model.serving.EntryEvent;

/**
 * Describes events for the log. Configurations and lists are too large to be written
 * whole, above all when memory is short, and requests contain their callers' keys.
 */
final class EventDescription {

	private EventDescription() {
	}

	static String of(EntryEvent event) {
		if (event instanceof EntryEvent.ConfigurationRead read) {
			return "ConfigurationRead version=" + read.configuration().version();
		}
		if (event instanceof EntryEvent.ConfigurationReceived received) {
			return "ConfigurationReceived version=" + received.configuration().version() + " source="
					+ received.source();
		}
		if (event instanceof EntryEvent.TargetsListed listed) {
			return "TargetsListed entries=" + listed.entries().size();
		}
		if (event instanceof EntryEvent.TargetsChanged changed) {
			return "TargetsChanged changes=" + changed.changes().size() + " revision=" + changed.revision();
		}
		if (event instanceof EntryEvent.NodesListed listed) {
			return "NodesListed nodes=" + listed.nodes().size();
		}
		if (event instanceof EntryEvent.MessageReceived received) {
			return "MessageReceived kind=" + received.message().getClass().getSimpleName() + " sender="
					+ received.message().sender();
		}
		if (event instanceof EntryEvent.RequestArrived arrived) {
			return "RequestArrived request=" + arrived.request().identifier();
		}
		if (event instanceof EntryEvent.ProxiedRequestArrived arrived) {
			return "ProxiedRequestArrived request=" + arrived.request().identifier();
		}
		return event.toString();
	}

}
