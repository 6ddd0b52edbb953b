package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.TargetName;

/**
 * What entry nodes tell each other. Any message may be lost, late or doubled: each is
 * good by itself, and what matters is told again.
 */
public sealed interface NodeMessage {

	/**
	 * The node that tells.
	 * @return its name
	 */
	String sender();

	/**
	 * Requests that a node has with targets at present.
	 *
	 * @param sender the node that tells
	 * @param dataCentre the data centre of that node
	 * @param storeReachable whether that node knows what the store shows now
	 * @param requests number of requests by target
	 */
	record Loads(String sender, DataCentreName dataCentre, boolean storeReachable,
			Map<TargetName, Integer> requests) implements NodeMessage {

		/**
		 * Copies the numbers.
		 */
		public Loads {
			requests = Map.copyOf(requests);
		}

	}

	/**
	 * Loads of many nodes, added up for each data centre without those of the node that
	 * is told.
	 *
	 * @param sender the node that tells
	 * @param sums the sums, of the own data centre and of others
	 */
	record LoadsAdded(String sender, List<LoadSum> sums) implements NodeMessage {

		/**
		 * Copies the sums.
		 */
		public LoadsAdded {
			sums = List.copyOf(sums);
		}

	}

	/**
	 * A request that a node has just given to a model engine.
	 *
	 * @param sender the node that tells
	 * @param target the engine
	 * @param prefillTime time that the engine needs to read the prompt
	 */
	record Placed(String sender, TargetName target, Duration prefillTime) implements NodeMessage {
	}

	/**
	 * What a node has read in the store, or heard of a node that has.
	 *
	 * @param sender the node that tells
	 * @param dataCentre the data centre of that node
	 * @param configurationVersion the configuration in force there
	 * @param previousChangeRevision the revision of the last change that is not told
	 * here: who knows it has missed nothing
	 * @param since the revision after which the changes were read
	 * @param revision the revision that the node has come to
	 * @param changes all changes of targets between these two, in their order
	 * @param lease the right to control the groups as it was seen last
	 * @param age time since the store answered the node that read this
	 */
	record StoreNews(String sender, DataCentreName dataCentre, long configurationVersion, long previousChangeRevision,
			long since, long revision, List<TargetChange> changes, Optional<Lease> lease,
			Duration age) implements NodeMessage {

		/**
		 * Copies the changes.
		 */
		public StoreNews {
			changes = List.copyOf(changes);
		}

		/**
		 * News with the lease.
		 * @param knownLease the lease as it was seen last
		 * @return the news
		 */
		public StoreNews withLease(Optional<Lease> knownLease) {
			return new StoreNews(this.sender, this.dataCentre, this.configurationVersion, this.previousChangeRevision,
					this.since, this.revision, this.changes, knownLease, this.age);
		}

		/**
		 * The same news without the changes, which each node then reads for itself.
		 * @return the news
		 */
		public StoreNews withoutChanges() {
			return new StoreNews(this.sender, this.dataCentre, this.configurationVersion, this.revision, this.revision,
					this.revision, List.of(), this.lease, this.age);
		}

		/**
		 * The same news, passed on by another node.
		 * @param relay the node that passes it on
		 * @param relayDataCentre the data centre of that node
		 * @return the news
		 */
		public StoreNews relayedBy(String relay, DataCentreName relayDataCentre) {
			return new StoreNews(relay, relayDataCentre, this.configurationVersion, this.previousChangeRevision,
					this.since, this.revision, this.changes, this.lease, this.age);
		}

	}

	/**
	 * A configuration, to nodes for which this one reads the store.
	 *
	 * @param sender the node that tells
	 * @param version its version
	 * @param text its text in the store
	 */
	record ConfigurationTold(String sender, long version, String text) implements NodeMessage {
	}

	/**
	 * What the controller of the groups has heard from engines while no node reaches the
	 * store.
	 *
	 * @param sender the node that tells
	 * @param changes changes of targets
	 */
	record TargetsSeen(String sender, List<TargetChange> changes) implements NodeMessage {

		/**
		 * Copies the changes.
		 */
		public TargetsSeen {
			changes = List.copyOf(changes);
		}

	}

	/**
	 * A node that has just started, to nodes that may not have read of it.
	 *
	 * @param node the node
	 */
	record Introduction(NodeRecord node) implements NodeMessage {

		@Override
		public String sender() {
			return this.node.name();
		}

	}

	/**
	 * A node gives up the right to control the groups, because the store does not answer
	 * it while others reach it.
	 *
	 * @param sender the node that tells
	 * @param holder names its process in the lease
	 */
	record LeaseGivenUp(String sender, String holder) implements NodeMessage {
	}

	/**
	 * All answers that a node awaits from a target have paused.
	 *
	 * @param sender the node that tells
	 * @param target the target
	 */
	record Silence(String sender, TargetName target) implements NodeMessage {
	}

	/**
	 * Several nodes have found a target silent.
	 *
	 * @param sender the node that tells, which controls the groups
	 * @param target the target
	 */
	record SilenceConfirmed(String sender, TargetName target) implements NodeMessage {
	}

	/**
	 * A group serves no more: its head has left it, or stands still for good.
	 *
	 * @param sender the node that tells, which controls the groups
	 * @param head the engine that took the group's requests
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	record GroupEnded(String sender, TargetName head, String group, long epoch) implements NodeMessage {
	}

	/**
	 * What a target has said that it takes from all nodes together.
	 *
	 * @param sender the node that tells
	 * @param target the target
	 * @param limit the limit; empty if the target names none any more
	 */
	record TargetLimited(String sender, TargetName target, Optional<RequestRate> limit) implements NodeMessage {
	}

	/**
	 * A target was lost while it ran a request.
	 *
	 * @param sender the node that tells
	 * @param contentHash hash of what ran
	 * @param target the target
	 */
	record Suspicion(String sender, long contentHash, TargetName target) implements NodeMessage {
	}

	/**
	 * A request that was suspected was answered.
	 *
	 * @param sender the node that tells
	 * @param contentHash hash of what ran
	 */
	record Cleared(String sender, long contentHash) implements NodeMessage {
	}

}
