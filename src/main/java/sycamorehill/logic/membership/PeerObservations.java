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
 * The observations of the other nodes.
 *
 * @param direct the nodes from which this node has received heartbeats itself
 * @param views the live nodes of each data centre, as its delegates confirm them
 * @param words the last reports of the other delegates of this node's data centre
 * @param delegateSince the monotonic time at which this node became a delegate,
 * {@link Instant#MIN} if it is none
 * @param contacts the known nodes and their addresses, live or not
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
	 * Returns the hash of all confirmed views.
	 * @return the hash, equal on nodes that know the same live nodes
	 */
	long hash() {
		HashStream64 stream = Hashing.komihash5_0().hashStream();
		confirmedViews().forEach((name, view) -> stream.putString(name.value()).putLong(view.hash()));
		return stream.getAsLong();
	}

	/**
	 * Returns the views that a delegate has confirmed at least once.
	 * @return the views by data centre
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
