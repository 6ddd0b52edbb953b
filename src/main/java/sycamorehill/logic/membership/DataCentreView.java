package sycamorehill.logic.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.dynatrace.hash4j.hashing.Hashing;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.peer.MemberEntry;
import sycamorehill.model.peer.MembersChanged;

/**
 * The live nodes of one data centre, as its delegates confirm them.
 *
 * @param members the nodes by name
 * @param hash the hash of all members, independent of their order
 * @param vouchedAt the monotonic time of this node at the last confirmation of exactly
 * this set, {@link Instant#MIN} before the first
 * @param askedAt the monotonic time of this node at the last request for the complete
 * set, {@link Instant#MIN} before the first
 * @param pushed the members as last pushed to the nodes of this node's data centre
 * @param pushedHash the hash of the pushed members
 * @param steps how often silent delegates were skipped since the last confirmation
 */
record DataCentreView(PMap<NodeName, MemberEntry> members, long hash, Instant vouchedAt, Instant askedAt,
		PMap<NodeName, MemberEntry> pushed, long pushedHash, int steps) {

	static DataCentreView empty(Instant now) {
		return new DataCentreView(TreePMap.empty(), 0, now, Instant.MIN, TreePMap.empty(), 0, 0);
	}

	/**
	 * Tells whether a delegate has ever confirmed the members.
	 * @return whether there was a confirmation
	 */
	boolean isConfirmed() {
		return !this.vouchedAt.equals(Instant.MIN);
	}

	DataCentreView with(MemberEntry entry) {
		MemberEntry member = new MemberEntry(entry.identity(), entry.stopping(), true);
		NodeName name = member.identity().incarnation().node();
		MemberEntry old = this.members.get(name);
		if (member.equals(old)) {
			return this;
		}
		long changed = this.hash ^ hash(old) ^ hash(member);
		return new DataCentreView(this.members.plus(name, member), changed, this.vouchedAt, this.askedAt, this.pushed,
				this.pushedHash, this.steps);
	}

	DataCentreView without(NodeName name) {
		MemberEntry old = this.members.get(name);
		if (old == null) {
			return this;
		}
		return new DataCentreView(this.members.minus(name), this.hash ^ hash(old), this.vouchedAt, this.askedAt,
				this.pushed, this.pushedHash, this.steps);
	}

	DataCentreView withMembers(List<MemberEntry> entries) {
		DataCentreView view = new DataCentreView(TreePMap.empty(), 0, this.vouchedAt, this.askedAt, this.pushed,
				this.pushedHash, this.steps);
		for (MemberEntry entry : entries) {
			view = view.with(entry);
		}
		return view;
	}

	DataCentreView withConfirmation(Instant time) {
		return new DataCentreView(this.members, this.hash, time, this.askedAt, this.pushed, this.pushedHash, 0);
	}

	DataCentreView withAskedAt(Instant time) {
		return new DataCentreView(this.members, this.hash, this.vouchedAt, time, this.pushed, this.pushedHash,
				this.steps);
	}

	DataCentreView withDelegatesSkipped() {
		return new DataCentreView(this.members, this.hash, this.vouchedAt, this.askedAt, this.pushed, this.pushedHash,
				this.steps + 1);
	}

	DataCentreView withPushed() {
		return new DataCentreView(this.members, this.hash, this.vouchedAt, this.askedAt, this.members, this.hash,
				this.steps);
	}

	/**
	 * Returns the changes since the last push.
	 * @param dataCentre the name of this data centre
	 * @return the change from the pushed to the current members
	 */
	MembersChanged changeSincePush(DataCentreName dataCentre) {
		List<MemberEntry> present = new ArrayList<>();
		List<NodeName> gone = new ArrayList<>();
		for (Map.Entry<NodeName, MemberEntry> entry : this.members.entrySet()) {
			if (!Objects.equals(this.pushed.get(entry.getKey()), entry.getValue())) {
				present.add(entry.getValue());
			}
		}
		for (NodeName name : this.pushed.keySet()) {
			if (!this.members.containsKey(name)) {
				gone.add(name);
			}
		}
		return new MembersChanged(dataCentre, this.pushedHash, this.hash, present, gone);
	}

	private static long hash(MemberEntry member) {
		if (member == null) {
			return 0;
		}
		return Hashing.komihash5_0()
			.hashStream()
			.putString(member.identity().incarnation().node().value())
			.putLong(member.identity().incarnation().number())
			.putBoolean(member.stopping())
			.getAsLong();
	}

}
