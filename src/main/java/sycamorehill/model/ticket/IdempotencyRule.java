package sycamorehill.model.ticket;

/**
 * A rule that declares which calls of a service are idempotent. The first rule that
 * matches the method and path of a call applies; a call without a matching rule is not
 * retried.
 *
 * @param method the HTTP method, or * for any method
 * @param pathPrefix the prefix of the path, from the slash after the name of the service
 * @param repeatable whether matching calls are idempotent
 */
public record IdempotencyRule(String method, String pathPrefix, boolean repeatable) {

	private static final String ANY_METHOD = "*";

	/**
	 * Tells whether the rule matches a call.
	 * @param callMethod the HTTP method of the call
	 * @param callPath the path of the call
	 * @return whether the rule matches
	 */
	public boolean matches(String callMethod, String callPath) {
		return (this.method.equals(ANY_METHOD) || this.method.equalsIgnoreCase(callMethod))
				&& callPath.startsWith(this.pathPrefix);
	}

}
