package sycamorehill.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import sycamorehill.model.serving.Lease;

/**
 * Content of the lease as one call writes it. No holder writes the same content twice
 * with success, so that the answer to one write can be told from that to another.
 *
 * @param holder holder of the lease
 * @param term term of the holder
 * @param renewal the revision that the write replaces; 0 if it creates the lease
 * @param recentTerms number of terms that ended shortly before
 */
record LeaseWrite(String holder, long term, long renewal, int recentTerms) {

	static final String HOLDER = "holder";

	static final String TERM = "term";

	private static final String RENEWAL = "renewal";

	static final String RECENT_TERMS = "recent_terms";

	static LeaseWrite creating(String holder) {
		return new LeaseWrite(holder, 1, 0, 0);
	}

	static LeaseWrite replacing(Lease lease) {
		return new LeaseWrite(lease.holder(), lease.term(), lease.revision(), lease.recentTerms());
	}

	/**
	 * Encodes the content.
	 * @param json creates the node
	 * @return the content of the object in the store
	 */
	ObjectNode encode(ObjectMapper json) {
		return json.createObjectNode()
			.put(HOLDER, this.holder)
			.put(TERM, this.term)
			.put(RENEWAL, this.renewal)
			.put(RECENT_TERMS, this.recentTerms);
	}

	/**
	 * Returns whether an object holds what this call has written.
	 * @param content the content of the object in the store
	 * @return false if another call has written it
	 */
	boolean isIn(JsonNode content) {
		return this.holder.equals(content.path(HOLDER).textValue()) && content.path(TERM).longValue() == this.term
				&& content.path(RENEWAL).longValue() == this.renewal;
	}

	/**
	 * Returns whether a lease can be why the store refused this call.
	 * @param current the lease
	 * @return false if the call replaces it or a newer one
	 */
	boolean conflictsWith(Lease current) {
		return current.revision() > this.renewal;
	}

}
