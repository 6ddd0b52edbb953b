package sycamorehill.model.ticket;

/**
 * The service's own word on which of its calls are idempotent: the first rule that
 * matches a call's method and path decides; a call without a rule may not be repeated.
 *
 * @param method the HTTP method, or * for any
 * @param pathPrefix how the path begins, from the slash after the service's name
 * @param repeatable whether such a call is idempotent
 */
public record IdempotencyRule(String method, String pathPrefix, boolean repeatable) {

	private static final String ANY_METHOD = "*";

	/**
	 * Whether the rule speaks of a call.
	 * @param callMethod the call's HTTP method
	 * @param callPath the call's path
	 * @return whether the rule matches
	 */
	public boolean matches(String callMethod, String callPath) {
		return (this.method.equals(ANY_METHOD) || this.method.equalsIgnoreCase(callMethod))
				&& callPath.startsWith(this.pathPrefix);
	}

}
