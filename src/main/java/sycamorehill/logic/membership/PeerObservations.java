package sycamorehill.logic.membership;

import java.time.Instant;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
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
record PeerObservations(PMap<NodeName, DirectContact> direct, PMap<DataCentreName, DataCentreView> views,
		PMap<NodeName, DelegateReport> words, Instant delegateSince, TreePMap<NodeName, NodeIdentity> contacts) {

	static PeerObservations empty() {
		return new PeerObservations(HashTreePMap.empty(), TreePMap.empty(), HashTreePMap.empty(), Instant.MIN,
				TreePMap.empty());
	}

	PeerObservations withDirect(PMap<NodeName, DirectContact> changed) {
		return new PeerObservations(changed, this.views, this.words, this.delegateSince, this.contacts);
	}

	PeerObservations withView(DataCentreName dataCentre, DataCentreView changed) {
		return new PeerObservations(this.direct, this.views.plus(dataCentre, changed), this.words, this.delegateSince,
				this.contacts);
	}

	PeerObservations withReport(NodeName delegate, DelegateReport report) {
		return new PeerObservations(this.direct, this.views, this.words.plus(delegate, report), this.delegateSince,
				this.contacts);
	}

	PeerObservations withDelegateSince(Instant time) {
		return new PeerObservations(this.direct, this.views, this.words, time, this.contacts);
	}

	PeerObservations withContact(NodeIdentity identity) {
		NodeName name = identity.incarnation().node();
		return identity.equals(this.contacts.get(name)) ? this : new PeerObservations(this.direct, this.views,
				this.words, this.delegateSince, this.contacts.plus(name, identity));
	}

	/**
	 * Hash of everything that delegates vouch for.
	 * @return the hash, equal on nodes that know the same
	 */
	long hash() {
		HashStream64 stream = Hashing.komihash5_0().hashStream();
		confirmedViews().forEach((name, view) -> stream.putString(name.value()).putLong(view.hash()));
		return stream.getAsLong();
	}

	/**
	 * The data centres of which a delegate's word has come.
	 * @return the views, by name
	 */
	SortedMap<DataCentreName, DataCentreView> confirmedViews() {
		SortedMap<DataCentreName, DataCentreView> views = new TreeMap<>();
		for (Map.Entry<DataCentreName, DataCentreView> entry : this.views.entrySet()) {
			if (entry.getValue().isConfirmed()) {
				views.put(entry.getKey(), entry.getValue());
			}
		}
		return views;
	}

	DataCentreView view(DataCentreName dataCentre, Instant now) {
		DataCentreView view = this.views.get(dataCentre);
		return (view != null) ? view : DataCentreView.empty(now);
	}

}
