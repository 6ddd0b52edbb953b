package sycamorehill.logic.membership;

/**
 * What a platform call of the part was made for.
 */
public enum MembershipCall {

	/** Reads the own announcement, to see whether it stands. */
	READ_ANNOUNCEMENT,
	/** Writes the own announcement. */
	WRITE_ANNOUNCEMENT,
	/** Lists the announcements of all nodes. */
	LIST_ANNOUNCEMENTS

}
