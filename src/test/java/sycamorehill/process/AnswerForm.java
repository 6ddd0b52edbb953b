package sycamorehill.process;

/**
 * How a target that stutters answers a request.
 */
enum AnswerForm {

	/** With a success, as a sound target does. */
	WHOLE,

	/** With an error of its own. */
	FAILURE,

	/** With the statement that it has not run the request. */
	REFUSAL,

	/** With a part of the head of an answer, at times with another answer behind it. */
	CUT_HEAD,

	/** With a part of the body of an answer. */
	CUT_BODY,

	/** With a length that is larger than the body. */
	LENGTH_TOO_LONG,

	/** With a length that is smaller than the body. */
	LENGTH_TOO_SHORT,

	/** With chunks whose sizes are wrong, or without the last one. */
	WRONG_CHUNKS,

	/** With bytes that are no answer. */
	GARBAGE,

	/** With interim answers before the answer. */
	INTERIM,

	/** With a body that ends with the connection. */
	NO_LENGTH,

	/** With a body without length on a connection that is reset. */
	NO_LENGTH_RESET,

	/** Before it has read the body of the request. */
	EARLY,

	/** With a reset connection. */
	RESET,

	/** Not at all. */
	SILENT,

	/** With the identifier of another request, at times before its own answer. */
	OTHER_IDENTIFIER,

	/** With a success that by its status has no body, and yet a body. */
	BODY_WITHOUT_PLACE,

	/** With a success that has no signature. */
	NO_SIGNATURE

}
