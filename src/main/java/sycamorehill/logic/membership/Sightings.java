package sycamorehill.logic.membership;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeName;

/**
 * Everything that this node has heard of the others.
 *
 * @param direct nodes that it has heard itself
 * @param views what delegates vouch for, by data centre
 * @param words what the other delegates of the own data centre have said
 * @param delegateSince when this node became a delegate, {@link Instant#MIN} if it is
 * none
 * @param contacts where nodes may be met, alive or not
 */
record Sightings(PMap<NodeName, DirectContact> direct, PMap<DataCentreName, DataCentreView> views,
		PMap<NodeName, DelegateWord> words, Instant delegateSince, TreePMap<NodeName, NodeIdentity> contacts) {

	static Sightings none() {
		return new Sightings(HashTreePMap.empty(), TreePMap.empty(), HashTreePMap.empty(), Instant.MIN,
				TreePMap.empty());
	}

	Sightings withDirect(PMap<NodeName, DirectContact> changed) {
		return new Sightings(changed, this.views, this.words, this.delegateSince, this.contacts);
	}

	Sightings withView(DataCentreName dataCentre, DataCentreView changed) {
		return new Sightings(this.direct, this.views.plus(dataCentre, changed), this.words, this.delegateSince,
				this.contacts);
	}

	Sightings withWord(NodeName delegate, DelegateWord word) {
		return new Sightings(this.direct, this.views, this.words.plus(delegate, word), this.delegateSince,
				this.contacts);
	}

	Sightings delegateSince(Instant time) {
		return new Sightings(this.direct, this.views, this.words, time, this.contacts);
	}

	Sightings withContact(NodeIdentity identity) {
		NodeName name = identity.incarnation().node();
		return identity.equals(this.contacts.get(name)) ? this : new Sightings(this.direct, this.views, this.words,
				this.delegateSince, this.contacts.plus(name, identity));
	}

	DataCentreView view(DataCentreName dataCentre, Instant now) {
		DataCentreView view = this.views.get(dataCentre);
		return (view != null) ? view : DataCentreView.empty(now);
	}

}
