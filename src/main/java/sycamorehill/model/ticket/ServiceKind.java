package sycamorehill.model.ticket;

/**
 * What answers a service's calls.
 */
public enum ServiceKind {

	/** Model engines in groups; calls are repeatable and streamed. */
	MODEL,

	/** Plain HTTP services at fixed addresses. */
	PLAIN

}
