package sycamorehill.model.serving;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;

/**
 * Message between entry nodes. A message may be lost, delayed or duplicated. Each message
 * is therefore valid by itself, and important ones are repeated.
 */
public sealed interface NodeMessage {

	/**
	 * Returns the sender.
	 * @return the name of the node that sends the message
	 */
	String sender();

	/**
	 * Numbers of requests that a node has in flight at targets.
	 *
	 * @param sender the sender
	 * @param dataCentre the sender's data centre
	 * @param storeReachable whether the sender knows the current state of the store
	 * @param requests number of requests by target
	 * @param use recent use of the sender by workspace
	 */
	record Loads(String sender, DataCentreName dataCentre, boolean storeReachable, Map<TargetName, Integer> requests,
			UseReport use) implements NodeMessage {

		/**
		 * Copies the numbers.
		 */
		public Loads {
			requests = Map.copyOf(requests);
		}

		/**
		 * Creates a message that reports no use by workspace.
		 * @param sender the sender
		 * @param dataCentre the sender's data centre
		 * @param storeReachable whether the sender knows the current state of the store
		 * @param requests number of requests by target
		 */
		public Loads(String sender, DataCentreName dataCentre, boolean storeReachable,
				Map<TargetName, Integer> requests) {
			this(sender, dataCentre, storeReachable, requests, UseReport.NONE);
		}

	}

	/**
	 * Summed loads of many nodes, by data centre. The sums leave out the loads of the
	 * node that receives the message.
	 *
	 * @param sender the sender
	 * @param sums the sums of the sender's own and of other data centres
	 */
	record SummedLoads(String sender, List<LoadSum> sums) implements NodeMessage {

		/**
		 * Copies the sums.
		 */
		public SummedLoads {
			sums = List.copyOf(sums);
		}

	}

	/**
	 * A request that a node has just sent to a model engine.
	 *
	 * @param sender the sender
	 * @param target the engine
	 * @param prefillTime time that the engine needs to process the prompt
	 */
	record RequestPlaced(String sender, TargetName target, Duration prefillTime) implements NodeMessage {
	}

	/**
	 * Update about the store's state, which the sender has read itself or received from a
	 * node that has.
	 *
	 * @param sender the sender
	 * @param dataCentre the sender's data centre
	 * @param configurationVersion version of the configuration in effect at the sender
	 * @param configurationRevision the revision up to which this is the newest version
	 * @param previousChangeRevision revision of the last change before those in this
	 * message; a receiver that has reached it has missed none
	 * @param since the revision after which the changes were read
	 * @param revision the revision that the sender has reached
	 * @param changes all changes of targets between these two revisions, in their order
	 * @param lease the last known lease for the control of the groups
	 * @param age time since the store answered the node that read this
	 * @param evacuations the evacuated data centres as far as the sender knows them;
	 * empty if it knows none or if there are none in this deployment
	 */
	record StoreUpdate(String sender, DataCentreName dataCentre, long configurationVersion, long configurationRevision,
			long previousChangeRevision, long since, long revision, List<TargetChange> changes, Optional<Lease> lease,
			Duration age, Optional<EvacuatedDataCentres> evacuations) implements NodeMessage {

		/**
		 * Copies the changes.
		 */
		public StoreUpdate {
			changes = List.copyOf(changes);
		}

		/**
		 * Creates an update without evacuations.
		 * @param sender the sender
		 * @param dataCentre the sender's data centre
		 * @param configurationVersion version of the configuration in effect at the
		 * sender
		 * @param configurationRevision the revision up to which this is the newest
		 * version
		 * @param previousChangeRevision revision of the last change before those in this
		 * message
		 * @param since the revision after which the changes were read
		 * @param revision the revision that the sender has reached
		 * @param changes all changes of targets between these two revisions
		 * @param lease the last known lease for the control of the groups
		 * @param age time since the store answered the node that read this
		 */
		public StoreUpdate(String sender, DataCentreName dataCentre, long configurationVersion,
				long configurationRevision, long previousChangeRevision, long since, long revision,
				List<TargetChange> changes, Optional<Lease> lease, Duration age) {
			this(sender, dataCentre, configurationVersion, configurationRevision, previousChangeRevision, since,
					revision, changes, lease, age, Optional.empty());
		}

		/**
		 * Returns this update with evacuations.
		 * @param known the evacuated data centres as far as the sender knows them
		 * @return the update
		 */
		public StoreUpdate withEvacuations(Optional<EvacuatedDataCentres> known) {
			return new StoreUpdate(this.sender, this.dataCentre, this.configurationVersion, this.configurationRevision,
					this.previousChangeRevision, this.since, this.revision, this.changes, this.lease, this.age, known);
		}

		/**
		 * Returns this update with a lease.
		 * @param knownLease the last known lease
		 * @return the update
		 */
		public StoreUpdate withLease(Optional<Lease> knownLease) {
			return new StoreUpdate(this.sender, this.dataCentre, this.configurationVersion, this.configurationRevision,
					this.previousChangeRevision, this.since, this.revision, this.changes, knownLease, this.age,
					this.evacuations);
		}

		/**
		 * Returns this update without the changes. Each receiver then reads them from the
		 * store itself.
		 * @return the update
		 */
		public StoreUpdate withoutChanges() {
			return new StoreUpdate(this.sender, this.dataCentre, this.configurationVersion, this.configurationRevision,
					this.revision, this.revision, this.revision, List.of(), this.lease, this.age, this.evacuations);
		}

		/**
		 * Returns this update as forwarded by a relay.
		 * @param relay the node that forwards it
		 * @param relayDataCentre the relay's data centre
		 * @return the update
		 */
		public StoreUpdate relayedBy(String relay, DataCentreName relayDataCentre) {
			return new StoreUpdate(relay, relayDataCentre, this.configurationVersion, this.configurationRevision,
					this.previousChangeRevision, this.since, this.revision, this.changes, this.lease, this.age,
					this.evacuations);
		}

	}

	/**
	 * Asks for changes of targets that the sender has missed. The store may not answer
	 * it.
	 *
	 * @param sender the sender
	 * @param since the revision that the sender has reached
	 */
	record ChangesRequest(String sender, long since) implements NodeMessage {
	}

	/**
	 * A configuration, for nodes on whose behalf the sender reads the store.
	 *
	 * @param sender the sender
	 * @param version version of the configuration
	 * @param text text of the configuration in the store
	 */
	record ConfigurationText(String sender, long version, String text) implements NodeMessage {
	}

	/**
	 * Asks for the text of a configuration that the receiver has announced.
	 *
	 * @param sender the sender, which has not received it
	 * @param version version of the configuration
	 */
	record ConfigurationRequest(String sender, long version) implements NodeMessage {
	}

	/**
	 * Changes of targets that the controller of the groups learned from engines while no
	 * node reaches the store.
	 *
	 * @param sender the sender
	 * @param changes the changes
	 */
	record TargetsObserved(String sender, List<TargetChange> changes) implements NodeMessage {

		/**
		 * Copies the changes.
		 */
		public TargetsObserved {
			changes = List.copyOf(changes);
		}

	}

	/**
	 * Introduces a node that has just started to nodes that may not have read its record
	 * yet.
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
	 * A node has received the introduction of the receiver, and counts it among the nodes
	 * that share the bounds on all nodes together.
	 *
	 * @param sender the sender
	 */
	record IntroductionConfirmed(String sender) implements NodeMessage {
	}

	/**
	 * A node no longer holds the lease for the control of the groups. It has released the
	 * lease, or the store rejects its calls but answers other nodes.
	 *
	 * @param sender the sender
	 * @param holder the process that held the lease, as named in it
	 */
	record LeaseReleased(String sender, String holder) implements NodeMessage {
	}

	/**
	 * All answers that a node awaits from a target have stalled.
	 *
	 * @param sender the sender
	 * @param target the target
	 */
	record Silence(String sender, TargetName target) implements NodeMessage {
	}

	/**
	 * Several nodes have reported the same target as silent.
	 *
	 * @param sender the sender, which controls the groups
	 * @param target the target
	 */
	record SilenceConfirmed(String sender, TargetName target) implements NodeMessage {
	}

	/**
	 * Services of which the sender reaches no target.
	 *
	 * @param sender the sender
	 * @param services the services; empty if it reaches all again
	 */
	record ServicesUnreachable(String sender, Set<ServiceName> services) implements NodeMessage {

		/**
		 * Copies the services.
		 */
		public ServicesUnreachable {
			services = Set.copyOf(services);
		}

	}

	/**
	 * A group no longer serves requests, because its head has left it or has stalled
	 * permanently.
	 *
	 * @param sender the sender, which controls the groups
	 * @param head the engine that received the group's requests
	 * @param group the group's name
	 * @param epoch the group's epoch
	 */
	record GroupEnded(String sender, TargetName head, String group, long epoch) implements NodeMessage {
	}

	/**
	 * Rate limit that a target has reported for all nodes together.
	 *
	 * @param sender the sender
	 * @param target the target
	 * @param limit the limit; empty if the target no longer reports one
	 */
	record TargetLimited(String sender, TargetName target, Optional<RequestRate> limit) implements NodeMessage {
	}

	/**
	 * A target has announced with an answer that it leaves.
	 *
	 * @param sender the sender
	 * @param target the target
	 * @param startMillis start time of the target's process, as in its entry
	 */
	record TargetLeaving(String sender, TargetName target, long startMillis) implements NodeMessage {
	}

	/**
	 * A target was lost while it ran requests.
	 *
	 * @param sender the sender
	 * @param target the lost process
	 * @param unseenFor time since a request that the loss is held against was last seen
	 * @param crashed whether the process is known to have ended
	 * @param requests the requests that may have crashed it
	 */
	record TargetLost(String sender, TargetIncarnation target, Duration unseenFor, boolean crashed,
			Set<LostRequest> requests) implements NodeMessage {

		/**
		 * Copies the requests.
		 */
		public TargetLost {
			requests = Set.copyOf(requests);
		}

	}

	/**
	 * Targets ran requests with suspected properties without a crash.
	 *
	 * @param sender the sender
	 * @param traits the properties
	 * @param age time since the targets began to run them, at most
	 */
	record TraitsSound(String sender, Set<RequestTrait> traits, Duration age) implements NodeMessage {

		/**
		 * Copies the properties.
		 */
		public TraitsSound {
			traits = Set.copyOf(traits);
		}

	}

	/**
	 * A request was sent to a target although requests with these properties are refused.
	 *
	 * @param sender the sender
	 * @param traits the properties
	 * @param age time since it was let through
	 */
	record TraitsTried(String sender, Set<RequestTrait> traits, Duration age) implements NodeMessage {

		/**
		 * Copies the properties.
		 */
		public TraitsTried {
			traits = Set.copyOf(traits);
		}

	}

}
