package sycamorehill.entry;

/**
 * What a connection to a target waits for.
 */
enum AnswerPhase {

	/** No request waits. */
	IDLE,

	/** The head of the answer has not arrived. */
	AWAITING_HEAD,

	/** A late answer to an earlier request arrives before the awaited one. */
	SKIPPING,

	/** The head of the answer has arrived. */
	READING,

	/** The answer has arrived; what arrived with its end is not looked at yet. */
	COMPLETE

}
