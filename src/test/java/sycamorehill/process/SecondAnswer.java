package sycamorehill.process;

/**
 * When a target sends a second answer to a request.
 */
enum SecondAnswer {

	/** Not at all. */
	NONE,

	/** In the same write as the answer. */
	AT_ONCE,

	/** In a write of its own, right behind the answer. */
	NEXT_WRITE,

	/** Some milliseconds later. */
	LATER,

	/** When the next request has come, before the answer to that. */
	BEFORE_NEXT,

	/** Behind an answer that announces the end of the connection. */
	WHILE_CLOSING

}
