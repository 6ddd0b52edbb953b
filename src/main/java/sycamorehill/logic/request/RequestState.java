package sycamorehill.logic.request;

/**
 * State of the part: the life of a request: attempts, retries, resumes and its outcome.
 */
public record RequestState() {

	/**
	 * The state of a fresh node.
	 * @return the state before the first event
	 */
	public static RequestState initial() {
		return new RequestState();
	}

}
