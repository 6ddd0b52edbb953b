package sycamorehill.model.order;

/**
 * What the keeper of a shard says to a claim.
 */
public enum OrderClaimDecision {

	/** The claim is committed: its holder may send the order. */
	GRANTED,
	/** The order ran; its answer is given again. */
	RECORDED,
	/** Another call holds the claim and its node is alive. */
	RUNNING,
	/** Whether the order ran can not be told; it never runs again. */
	UNKNOWN,
	/** The key was used with other content. */
	KEY_REUSED,
	/** The claim was not committed, and this mark never will be granted. */
	NOT_TAKEN

}
