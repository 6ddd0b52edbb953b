package sycamorehill.logic.membership;

/**
 * The purpose of a platform call made for node membership.
 */
public enum MembershipCall {

	/** Reads the announcement of this node to check that it is up to date. */
	READ_ANNOUNCEMENT,
	/** Writes the announcement of this node. */
	WRITE_ANNOUNCEMENT,
	/** Lists the announcements of all nodes. */
	LIST_ANNOUNCEMENTS

}
