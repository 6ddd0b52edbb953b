package sycamorehill.model.ticket;

/**
 * The kind of targets that serve a service.
 */
public enum ServiceKind {

	/** Groups of model engines. Calls are idempotent and their answers are streamed. */
	MODEL,

	/** Plain HTTP servers at fixed addresses. */
	PLAIN

}
