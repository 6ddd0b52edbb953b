package sycamorehill.model.order;

/**
 * The decision of the owner of a shard on a claim.
 */
public enum OrderClaimDecision {

	/** The claim is committed: its holder may send the order. */
	GRANTED,
	/** The order ran; its recorded answer is returned. */
	RECORDED,
	/** Another request holds the claim and its node is live. */
	RUNNING,
	/** It is unknown whether the order ran; it is never run again. */
	UNKNOWN,
	/** The key was used before with different content. */
	KEY_REUSED,
	/** The claim was not committed, and a claim with this mark will never be granted. */
	NOT_TAKEN

}
